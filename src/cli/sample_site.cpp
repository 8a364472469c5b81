#include "cli/sample_site.hpp"

#include <absl/strings/str_format.h>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::int64_t milli = 1'000;
constexpr std::int64_t gibibyte = 1'024; ///< In mebibytes.

/// The shape of one site's fleet.
struct fleet_shape
{
    std::string prefix;
    std::size_t data_centres = 0;
    std::size_t workers = 0;
    std::size_t workers_in_rack = 0;
    resources each;
    std::size_t accelerators = 0; ///< Of the whole fleet.
    std::size_t accelerators_each = 0;
};

const fleet_shape almaty_fleet{
    "almaty", 4, 50, 6, {32 * milli, 64 * gibibyte, 0}, 0, 0};
const fleet_shape lima_fleet{
    "lima", 4, 50, 6, {16 * milli, 64 * gibibyte, 0}, 0, 0};
/// The letter names the totals; eight accelerators to a worker that has any.
const fleet_shape letter_fleet{
    "region", 24, 23'000, 40, {32 * milli, 128 * gibibyte, 0}, 41'000, 8};

worker_entry make_worker(
    const fleet_shape& shape, std::size_t index, const std::string& address)
{
    const std::size_t centre = index % shape.data_centres;
    const std::size_t in_centre = index / shape.data_centres;
    const std::size_t rack = in_centre / shape.workers_in_rack;
    worker_entry made;
    made.data_centre =
        data_centre_name(absl::StrFormat("%s-%d", shape.prefix, centre + 1));
    made.rack =
        rack_name(absl::StrFormat("%s-r%d", made.data_centre.str(), rack + 1));
    made.id = worker_id(absl::StrFormat("%s-w%05d", shape.prefix, index + 1));
    made.address = address;
    made.capacity = shape.each;
    return made;
}

/// Puts the accelerators on as few workers as hold them.
void add_accelerators(
    const fleet_shape& shape, std::vector<worker_entry>& workers)
{
    std::size_t left = shape.accelerators;
    for (worker_entry& each : workers)
    {
        const std::size_t here = std::min(left, shape.accelerators_each);
        each.capacity.accelerators = static_cast<std::int64_t>(here);
        left -= here;
    }
}

void add_fleet(
    const fleet_shape& shape,
    const std::string& address,
    std::vector<worker_entry>& to)
{
    std::vector<worker_entry> made;
    for (std::size_t index = 0; index < shape.workers; ++index)
    {
        made.push_back(make_worker(shape, index, address));
    }
    add_accelerators(shape, made);
    to.insert(to.end(), made.begin(), made.end());
}

/// Teams and queues as they are collected.
struct rule_lists
{
    std::vector<team_rule> teams;
    std::vector<queue_rule> queues;

    void add_team(
        const std::string& name,
        std::uint32_t share,
        std::int64_t processors,
        std::int64_t memory_gib,
        std::int64_t accelerators = 0)
    {
        teams.push_back(
            {team_name(name),
             share,
             {processors * milli, memory_gib * gibibyte, accelerators}});
    }

    void add_queue(
        const std::string& name,
        work_class policy,
        const std::vector<std::string>& users,
        bool preemptible = false)
    {
        queue_rule made;
        made.name = queue_name(name);
        made.policy = policy;
        made.preemptible = preemptible;
        for (const std::string& user : users)
        {
            made.teams.emplace_back(user);
        }
        queues.push_back(std::move(made));
    }
};

void add_almaty(rule_lists& to)
{
    to.add_team("planning", 40, 800, 1'600);
    to.add_team("surveyors", 20, 400, 800);
    to.add_team("orders", 15, 300, 600);
    to.add_team("bookings", 10, 200, 400);
    to.add_team("caseworkers", 10, 200, 400);
    to.add_team("archive", 5, 400, 800);
    to.add_queue("plans", work_class::urgent, {"planning", "surveyors"});
    to.add_queue("drainage-runs", work_class::gang, {"planning"});
    to.add_queue("materials", work_class::urgent, {"orders"});
    to.add_queue("planning-service", work_class::service, {"planning"});
    to.add_queue("archive-scans", work_class::batch, {"archive"}, true);
    queue_rule open;
    open.name = queue_name("booking-status");
    open.policy = work_class::status;
    open.open_to_all = true;
    open.charged_team = team_name("bookings");
    to.queues.push_back(std::move(open));
}

void add_lima(rule_lists& to)
{
    to.add_team("unlocks", 30, 300, 1'200);
    to.add_team("payments", 25, 300, 1'200);
    to.add_team("cooperative", 15, 200, 800);
    to.add_team("usage", 15, 400, 1'600);
    to.add_team("agents", 10, 150, 600);
    to.add_team("billing", 5, 200, 800);
    to.add_queue("unlock-codes", work_class::urgent, {"unlocks", "agents"});
    to.add_queue("charges", work_class::urgent, {"payments"});
    to.add_queue(
        "reconciliation", work_class::batch, {"payments", "cooperative"});
    to.add_queue("usage-rollups", work_class::batch, {"usage"}, true);
    to.add_queue("cooperative-close", work_class::gang, {"cooperative"});
    to.add_queue("billing-service", work_class::service, {"billing"});
}

constexpr std::size_t letter_teams = 650;

void add_letter(rule_lists& to)
{
    for (std::size_t number = 1; number <= letter_teams; ++number)
    {
        const std::string name = absl::StrFormat("team-%03d", number);
        const auto share = static_cast<std::uint32_t>(1 + number % 10);
        to.add_team(name, share, 8'000, 32'000, 400);
    }
    to.add_queue("urgent", work_class::urgent, {});
    to.add_queue("service", work_class::service, {});
    to.add_queue("batch", work_class::batch, {}, true);
    to.add_queue("gang", work_class::gang, {});
    to.add_queue("status", work_class::status, {});
}

} // namespace

result<sample_site> parse_sample_site(const std::string& name)
{
    constexpr std::pair<std::string_view, sample_site> known[] = {
        {"almaty", sample_site::almaty},
        {"lima", sample_site::lima},
        {"both", sample_site::both},
        {"letter", sample_site::letter}};
    for (const auto& [word, site] : known)
    {
        if (name == word)
        {
            return site;
        }
    }
    return refuse(
        refusal_code::invalid_value,
        "the site must be almaty, lima, both or letter");
}

inventory make_sample_inventory(sample_site site, const std::string& address)
{
    std::vector<worker_entry> workers;
    if (site == sample_site::almaty || site == sample_site::both)
    {
        add_fleet(almaty_fleet, address, workers);
    }
    if (site == sample_site::lima || site == sample_site::both)
    {
        add_fleet(lima_fleet, address, workers);
    }
    if (site == sample_site::letter)
    {
        add_fleet(letter_fleet, address, workers);
    }
    return inventory::create(std::move(workers)).value();
}

rules make_sample_rules(sample_site site)
{
    rule_lists lists;
    if (site == sample_site::almaty || site == sample_site::both)
    {
        add_almaty(lists);
    }
    if (site == sample_site::lima || site == sample_site::both)
    {
        add_lima(lists);
    }
    if (site == sample_site::letter)
    {
        add_letter(lists);
    }
    return rules::create(std::move(lists.teams), std::move(lists.queues))
        .value();
}

} // namespace acaciastile
