// Reports on the whole cell and on this instance.

#include "cell/instance.hpp"

#include "cell/peer_codec.hpp"
#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Decodes the items of an array, skipping malformed ones.
template<class Value, class Decode>
std::vector<Value> decode_items(const json& array, Decode decode)
{
    std::vector<Value> items;
    for (const json& item : array)
    {
        if (auto value = decode(item, ""))
        {
            items.push_back(std::move(*value));
        }
    }
    return items;
}

} // namespace

void instance::list(
    instant /*now*/,
    presented_key key,
    job_filter filter,
    completion<std::vector<job_status>> done)
{
    auto team = visible_team(key);
    if (!team)
    {
        done(tl::unexpected(team.error()));
        return;
    }
    if (!team->empty())
    {
        filter.team = *team;
    }
    call_all_members(
        "cell.list",
        {{"team", filter.team.str()}, {"limit", filter.limit}},
        [filter, done = std::move(done)](member_answers answers)
        {
            std::vector<job_status> all;
            for (const auto& [id, answer] : answers)
            {
                if (!answer)
                {
                    continue;
                }
                auto some =
                    decode_items<job_status>(*answer, job_status_from_json);
                all.insert(all.end(), some.begin(), some.end());
            }
            std::sort(
                all.begin(),
                all.end(),
                [](const job_status& left, const job_status& right)
                { return left.job < right.job; });
            all.resize(std::min<std::size_t>(all.size(), filter.limit));
            done(std::move(all));
        });
}

void instance::configuration(
    instant /*now*/,
    presented_key key,
    completion<std::vector<configuration_in_force>> done)
{
    if (auto checked = check_operator(key); !checked)
    {
        done(tl::unexpected(checked.error()));
        return;
    }
    call_all_members(
        "cell.configuration",
        json::object(),
        [done = std::move(done)](member_answers answers)
        {
            std::vector<configuration_in_force> all;
            for (const auto& [id, answer] : answers)
            {
                configuration_in_force entry;
                entry.instance = id;
                auto decoded = answer ? configuration_from_json(*answer)
                                      : tl::unexpected(answer.error());
                if (decoded)
                {
                    entry = std::move(*decoded);
                }
                else
                {
                    entry.unreachable = decoded.error();
                }
                all.push_back(std::move(entry));
            }
            done(std::move(all));
        });
}

void instance::documents(
    instant /*now*/, presented_key key, completion<documents_in_force> done)
{
    if (auto checked = check_operator(key); !checked)
    {
        done(tl::unexpected(checked.error()));
        return;
    }
    done(documents_in_force{
        cell().inventory_revision(),
        cell().inventory_in_force(),
        cell().rules_revision(),
        cell().rules_in_force()});
}

void instance::teams(
    instant /*now*/,
    presented_key key,
    completion<std::vector<team_status>> done)
{
    auto team = visible_team(key);
    if (!team)
    {
        done(tl::unexpected(team.error()));
        return;
    }
    call_all_members(
        "cell.loads",
        json::object(),
        [this, team = *team, done = std::move(done)](member_answers answers)
        {
            std::map<team_name, team_load> sums;
            std::set<std::string> heard;
            for (const auto& [id, answer] : answers)
            {
                if (!answer || !answer->contains("loads"))
                {
                    continue;
                }
                for (const json& shard : (*answer)["shards"])
                {
                    heard.insert(shard.get<std::string>());
                }
                for (const auto& one : decode_items<shard_team_load>(
                         (*answer)["loads"], shard_team_load_from_json))
                {
                    sums[one.team].running += one.load.running;
                    sums[one.team].demand += one.load.demand;
                }
            }
            const std::size_t all_shards = shards_.shards().size();
            std::vector<team_status> all;
            for (const team_rule& rule : cell().rules_in_force().teams())
            {
                if (!team.empty() && team != rule.name)
                {
                    continue;
                }
                team_status status;
                status.name = rule.name;
                status.share = rule.share;
                status.upper_limit = rule.upper_limit;
                status.allowance = cell().allowance_sum(rule.name);
                status.running = sums[rule.name].running;
                status.waiting = sums[rule.name].demand;
                status.shards_unheard = static_cast<std::uint32_t>(
                    all_shards - std::min(all_shards, heard.size()));
                all.push_back(std::move(status));
            }
            done(std::move(all));
        });
}

void instance::workers(
    instant /*now*/,
    presented_key key,
    completion<std::vector<worker_status>> done)
{
    if (auto checked = check_operator(key); !checked)
    {
        done(tl::unexpected(checked.error()));
        return;
    }
    call_all_members(
        "cell.workers",
        json::object(),
        [this, done = std::move(done)](member_answers answers)
        {
            std::map<worker_id, worker_status> all;
            for (const auto& [id, answer] : answers)
            {
                if (!answer)
                {
                    continue;
                }
                for (auto& worker : decode_items<worker_status>(
                         *answer, worker_status_from_json))
                {
                    all.insert_or_assign(worker.entry.id, worker);
                }
            }
            for (const worker_entry& entry :
                 cell().inventory_in_force().workers())
            {
                worker_status unheard;
                unheard.entry = entry;
                unheard.state = "unheard";
                all.try_emplace(entry.id, unheard);
            }
            std::vector<worker_status> sorted;
            for (auto& [id, worker] : all)
            {
                sorted.push_back(std::move(worker));
            }
            done(std::move(sorted));
        });
}

void instance::dump(
    instant /*now*/, presented_key key, completion<std::string> done)
{
    if (auto checked = check_operator(key); !checked)
    {
        done(tl::unexpected(checked.error()));
        return;
    }
    json members = json::array();
    for (const member& one : members_->alive())
    {
        members.push_back(
            {{"id", one.id.str()},
             {"address", one.address},
             {"data_centre", one.data_centre.str()},
             {"incarnation", one.incarnation},
             {"suspected", members_->is_suspected(one.id)}});
    }
    json claims = json::object();
    for (const auto& [shard, claim] : cell().claims())
    {
        claims[shard.str()] = {
            {"owner", claim.owner.str()},
            {"epoch", claim.epoch},
            {"released", claim.released}};
    }
    json owned = json::object();
    for (const auto& [shard, owner] : owners_)
    {
        owned[shard.str()] = {
            {"epoch", owner->epoch()},
            {"open", owner->is_open()},
            {"lost", owner->is_lost()},
            {"releasing", releasing_.contains(shard)},
            {"jobs_known", owner->fold().jobs().size()},
            {"attempts_held", owner->attempts_held()},
            {"requests_in_hand", owner->requests_in_hand()},
            {"appends_sent", owner->appends_sent()},
            {"worker_calls_sent", owner->worker_calls_sent()}};
    }
    const json dumped{
        {"configuration", own_configuration()},
        {"ready", ready()},
        {"shutting_down", shutting_down_},
        {"log_failing", !follower_->at_head()},
        {"members", std::move(members)},
        {"claims", std::move(claims)},
        {"owned", std::move(owned)},
        {"workers", own_workers()},
        {"vms_leaving", vms_leaving_.size()},
        {"calls_in_hand", calls_in_hand_},
        {"call_retries", router_->retries()},
        {"cell_records_pending", writer_->pending()}};
    done(to_json_text(dumped, 2));
}

} // namespace acaciastile
