#include "cli/config/config_check.hpp"

#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"
#include "entry/socket_address.hpp"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace acaciastile
{

using json = nlohmann::json;

namespace
{

std::string item_of(const std::string& list, std::size_t index)
{
    return list + "[" + std::to_string(index) + "]";
}

/// Indexes of the entries that stand after another one of the same name.
template<class Entry, class Name>
std::vector<std::size_t>
repeated_entries(const std::vector<Entry>& entries, Name name)
{
    std::set<std::string> seen;
    std::vector<std::size_t> repeated;
    for (std::size_t index = 0; index < entries.size(); ++index)
    {
        const std::string& own = name(entries[index]);
        if (!own.empty() && !seen.insert(own).second)
        {
            repeated.push_back(index);
        }
    }
    return repeated;
}

/// True if the urgent or status tier holds the queue's tasks; the scheduler
/// preempts tasks of the shared tier alone.
bool is_above_shared_tier(work_class policy)
{
    return policy == work_class::urgent || policy == work_class::status;
}

bool accepts(const queue_rule& queue, const team_name& team)
{
    return queue.teams.empty() ||
           std::find(queue.teams.begin(), queue.teams.end(), team) !=
               queue.teams.end() ||
           (queue.open_to_all && queue.charged_team == team);
}

} // namespace

config_check config_check::of_text(std::string_view text)
{
    config_check made;
    const auto parsed = parse_json_text(text);
    if (!parsed)
    {
        const error& wrong = parsed.error();
        if (wrong.code == refusal_code::invalid_value)
        {
            made.places_ = json_places::scan(text);
            for (const repeated_field& each : made.places_.repeated())
            {
                made.findings_.push_back(
                    {config_finding_kind::repeated_field,
                     each.path,
                     each.position,
                     "given twice in one object"});
            }
        }
        if (made.findings_.empty())
        {
            made.findings_.push_back(
                {config_finding_kind::malformed,
                 "",
                 wrong.position,
                 wrong.message});
        }
        return made;
    }
    made.places_ = json_places::scan(text);
    const bool has_workers = parsed->is_object() && parsed->contains("workers");
    const bool has_rules = parsed->is_object() && (parsed->contains("teams") ||
                                                   parsed->contains("queues"));
    if (has_workers == has_rules)
    {
        made.add(
            config_finding_kind::unknown_kind,
            "",
            "expected an inventory with `workers`, or rules with `teams` and "
            "`queues`");
        return made;
    }
    made.kind_name_ = has_workers ? "inventory" : "rules";
    if (has_workers)
    {
        made.judge_inventory(*parsed);
    }
    else
    {
        made.judge_rules(*parsed);
    }
    made.sort();
    return made;
}

config_check config_check::unreadable(const std::string& why)
{
    config_check made;
    made.add(config_finding_kind::unreadable, "", why);
    return made;
}

bool config_check::has_errors() const
{
    return std::any_of(
        findings_.begin(),
        findings_.end(),
        [](const config_finding& each) { return is_error(each.kind); });
}

void config_check::add_not_compared(const std::string& why)
{
    findings_.push_back({config_finding_kind::not_compared, "", {}, why});
}

void config_check::add(
    config_finding_kind kind, std::string path, const std::string& message)
{
    const source_position position = places_.find(path);
    findings_.push_back({kind, std::move(path), position, message});
}

void config_check::add_error(const std::string& item, const error& wrong)
{
    // The codec starts a message with the path of the field, if there is one.
    const std::size_t end = wrong.message.find(": ");
    const bool has_path = end != std::string::npos &&
                          wrong.message.find(' ') > end &&
                          wrong.message.compare(0, item.size(), item) == 0;
    std::string path = has_path ? wrong.message.substr(0, end) : item;
    const std::string message =
        has_path ? wrong.message.substr(end + 2) : wrong.message;
    const bool known = std::any_of(
        findings_.begin(),
        findings_.end(),
        [&](const config_finding& each) {
            return each.message == message &&
                   (each.path == path || path.empty());
        });
    if (!known)
    {
        add(config_finding_kind::invalid_value, std::move(path), message);
    }
}

void config_check::sort()
{
    std::stable_sort(
        findings_.begin(),
        findings_.end(),
        [](const config_finding& left, const config_finding& right)
        {
            return std::tie(left.position.line, left.position.column) <
                   std::tie(right.position.line, right.position.column);
        });
}

template<class Value, class Decode, class Check>
std::vector<Value> config_check::decode_items(
    const json& document, const std::string& field, Decode decode, Check check)
{
    std::vector<Value> items;
    const auto list = document.find(field);
    if (list == document.end() || !list->is_array())
    {
        return items;
    }
    for (const json& each : *list)
    {
        const std::string path = item_of(field, items.size());
        result<Value> decoded = decode(each, path);
        const result<void> checked =
            decoded ? check(*decoded) : tl::unexpected(decoded.error());
        if (!checked)
        {
            add_error(path, checked.error());
        }
        items.push_back(checked ? *std::move(decoded) : Value{});
    }
    return items;
}

void config_check::judge_inventory(const json& document)
{
    const auto whole = inventory_from_json(document);
    const std::vector<worker_entry> workers = decode_items<worker_entry>(
        document,
        "workers",
        worker_entry_from_json,
        [](const worker_entry& each) -> result<void>
        {
            const auto alone = inventory::create({each});
            return alone ? result<void>() : tl::unexpected(alone.error());
        });
    for (const std::size_t index : repeated_entries(
             workers,
             [](const worker_entry& each) -> const std::string&
             { return each.id.str(); }))
    {
        add(config_finding_kind::listed_twice,
            item_of("workers", index),
            "worker '" + workers[index].id.str() +
                "' is listed more than once");
    }
    if (!whole)
    {
        add_error("", whole.error());
        return;
    }
    document_ = *whole;
    warn_of_workers(workers);
}

void config_check::judge_rules(const json& document)
{
    const auto whole = rules_from_json(document);
    const std::vector<team_rule> teams = decode_items<team_rule>(
        document,
        "teams",
        team_rule_from_json,
        [](const team_rule& each) -> result<void>
        {
            const auto alone = rules::create({each}, {});
            return alone ? result<void>() : tl::unexpected(alone.error());
        });
    const std::vector<queue_rule> queues = decode_items<queue_rule>(
        document,
        "queues",
        queue_rule_from_json,
        [](const queue_rule& /*each*/) { return result<void>(); });
    for (const std::size_t index : repeated_entries(
             teams,
             [](const team_rule& each) -> const std::string&
             { return each.name.str(); }))
    {
        add(config_finding_kind::listed_twice,
            item_of("teams", index),
            "team '" + teams[index].name.str() + "' is listed more than once");
    }
    for (const std::size_t index : repeated_entries(
             queues,
             [](const queue_rule& each) -> const std::string&
             { return each.name.str(); }))
    {
        add(config_finding_kind::listed_twice,
            item_of("queues", index),
            "queue '" + queues[index].name.str() +
                "' is listed more than once");
    }
    for (const team_rule& each : teams)
    {
        team_order_.push_back(each.name);
    }
    find_unknown_teams(document, queues);
    if (!whole)
    {
        add_error("", whole.error());
        return;
    }
    document_ = *whole;
    warn_of_teams(teams, queues);
    warn_of_queues(queues);
}

void config_check::find_unknown_teams(
    const json& document, const std::vector<queue_rule>& queues)
{
    // A team with an error elsewhere is known all the same.
    std::set<std::string> known;
    for (const json& each : document.value("teams", json::array()))
    {
        if (each.is_object() && each.contains("name") &&
            each.at("name").is_string())
        {
            known.insert(each.at("name").get<std::string>());
        }
    }
    for (std::size_t index = 0; index < queues.size(); ++index)
    {
        const queue_rule& queue = queues[index];
        const auto check = [&](const team_name& team, const std::string& field)
        {
            if (!known.contains(team.str()))
            {
                add(config_finding_kind::unknown_team,
                    item_of("queues", index) + "." + field,
                    "queue '" + queue.name.str() +
                        "' refers to unknown team '" + team.str() + "'");
            }
        };
        for (std::size_t at = 0; at < queue.teams.size(); ++at)
        {
            check(queue.teams[at], item_of("teams", at));
        }
        if (queue.open_to_all)
        {
            check(queue.charged_team, "charged_team");
        }
    }
}

void config_check::warn_of_workers(const std::vector<worker_entry>& workers)
{
    std::map<rack_name, data_centre_name> racks;
    std::set<rack_name> told;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        const worker_entry& each = workers[index];
        const std::string path = item_of("workers", index);
        const auto address = socket_address::parse(each.address);
        if (!address || address->port == 0)
        {
            add(config_finding_kind::address_unusable,
                path + ".address",
                "worker '" + each.id.str() +
                    "' has no address of the form a.b.c.d:port: no instance "
                    "can call it");
        }
        const auto [known, added] = racks.emplace(each.rack, each.data_centre);
        if (known->second != each.data_centre && told.insert(each.rack).second)
        {
            add(config_finding_kind::rack_in_two_centres,
                path + ".rack",
                "rack '" + each.rack.str() + "' is in data centres '" +
                    known->second.str() + "' and '" + each.data_centre.str() +
                    "': tasks are spread as if it were one rack");
        }
    }
}

void config_check::warn_of_teams(
    const std::vector<team_rule>& teams, const std::vector<queue_rule>& queues)
{
    for (std::size_t index = 0; index < teams.size(); ++index)
    {
        const team_rule& team = teams[index];
        const std::string path = item_of("teams", index);
        const bool is_used = std::any_of(
            queues.begin(),
            queues.end(),
            [&](const queue_rule& each) { return accepts(each, team.name); });
        if (!is_used)
        {
            add(config_finding_kind::unused_team,
                path,
                "no queue accepts jobs of team '" + team.name.str() + "'");
        }
        const resources& limit = team.upper_limit;
        if (limit.milli_processors == 0 || limit.memory_mib == 0)
        {
            add(config_finding_kind::limit_of_nothing,
                path + ".upper_limit",
                "team '" + team.name.str() + "' has a share of " +
                    std::to_string(team.share) + " and an upper limit of no " +
                    (limit.milli_processors == 0 ? "processors" : "memory") +
                    ": no task that needs any can start");
        }
    }
}

void config_check::warn_of_queues(const std::vector<queue_rule>& queues)
{
    for (std::size_t index = 0; index < queues.size(); ++index)
    {
        const queue_rule& queue = queues[index];
        const std::string path = item_of("queues", index);
        const std::string name = "queue '" + queue.name.str() + "'";
        if (!queue.open_to_all && !queue.charged_team.empty())
        {
            add(config_finding_kind::unused_charged_team,
                path + ".charged_team",
                name + " charges team '" + queue.charged_team.str() +
                    "' for jobs without a key, but is not open to all");
        }
        for (const std::size_t at : repeated_entries(
                 queue.teams,
                 [](const team_name& each) -> const std::string&
                 { return each.str(); }))
        {
            add(config_finding_kind::team_repeated,
                path + "." + item_of("teams", at),
                name + " names team '" + queue.teams[at].str() +
                    "' more than once");
        }
        if (queue.preemptible && is_above_shared_tier(queue.policy))
        {
            add(config_finding_kind::preemptible_unused,
                path + ".preemptible",
                name + " is preemptible, but tasks of policy " +
                    std::string(to_string(queue.policy)) +
                    " are never preempted");
        }
        if (queue.queue_bound == 0)
        {
            add(config_finding_kind::queue_of_nothing,
                path + ".queue_bound",
                name + " has a bound of 0 waiting tasks: every job is refused "
                       "as `queue_full`");
        }
        if (queue.queue_bound == 1 && queue.policy == work_class::gang)
        {
            add(config_finding_kind::queue_too_short,
                path + ".queue_bound",
                name + " has a bound of 1 waiting task: every gang of two "
                       "tasks or more is refused as `queue_full`");
        }
    }
}

void config_check::check_together(const rules& limits, const inventory& workers)
{
    constexpr double percent = 100.0;
    resources capacity;
    for (const worker_entry& each : workers.workers())
    {
        capacity += each.capacity;
    }
    double shares = 0;
    for (const team_rule& each : limits.teams())
    {
        shares += each.share;
    }
    for (const team_rule& team : limits.teams())
    {
        const double part = team.share / shares;
        const resources& limit = team.upper_limit;
        const auto is_below = [&](std::int64_t bound, std::int64_t all) {
            return static_cast<double>(bound) < part * static_cast<double>(all);
        };
        // A share counts in the resource of which a team uses the largest part.
        if (limit.milli_processors == 0 || limit.memory_mib == 0 ||
            !is_below(limit.milli_processors, capacity.milli_processors) ||
            !is_below(limit.memory_mib, capacity.memory_mib) ||
            (capacity.accelerators > 0 &&
             !is_below(limit.accelerators, capacity.accelerators)))
        {
            continue;
        }
        const auto at =
            std::find(team_order_.begin(), team_order_.end(), team.name);
        const auto index =
            static_cast<std::size_t>(std::distance(team_order_.begin(), at));
        add(config_finding_kind::share_above_limit,
            is_rules() ? item_of("teams", index) + ".upper_limit" : "workers",
            absl::StrFormat(
                "team '%s' has a share of %.1f%% of the workers, but its upper "
                "limit is below that: %d of %d thousandths of a processor, %d "
                "of %d MiB",
                team.name.str(),
                part * percent,
                limit.milli_processors,
                capacity.milli_processors,
                limit.memory_mib,
                capacity.memory_mib));
    }
    sort();
}

} // namespace acaciastile
