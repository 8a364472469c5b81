#include "cli/dev/sample_mix.hpp"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace acaciastile
{

namespace
{

constexpr std::int64_t milli = 1'000;
constexpr std::int64_t gibibyte = 1'024; ///< In mebibytes.
constexpr milliseconds request_deadline{20'000};
/// A service runs as one job for each data centre, about 50 executors in all.
constexpr std::size_t service_data_centres = 4;
constexpr std::uint32_t service_executors = 12;

/// A kind of work that recurs in the mix. Ranges are drawn evenly.
struct work_template
{
    std::string name;
    std::string team;
    std::string queue;
    work_class policy = work_class::batch;
    job_kind kind = job_kind::batch;
    std::uint32_t least_tasks = 1;
    std::uint32_t most_tasks = 1;
    resources each;
    milliseconds least_run{0};
    milliseconds most_run{0};
    bool repeatable = true;
    mix_key key = mix_key::own;
    unsigned weight = 1; ///< How often, relative to the others.
};

std::vector<work_template> almaty_work()
{
    return {
        {"booking-status",
         "",
         "booking-status",
         work_class::status,
         job_kind::request,
         1,
         1,
         {100, 128, 0},
         milliseconds(5),
         milliseconds(40),
         true,
         mix_key::none,
         24},
        {"materials-order",
         "orders",
         "materials",
         work_class::urgent,
         job_kind::request,
         1,
         1,
         {250, 256, 0},
         milliseconds(20),
         milliseconds(120),
         false,
         mix_key::own,
         12},
        {"layout-plan",
         "surveyors",
         "plans",
         work_class::urgent,
         job_kind::batch,
         1,
         3,
         {2 * milli, 4 * gibibyte, 0},
         milliseconds(200),
         milliseconds(900),
         true,
         mix_key::own,
         10},
        {"drainage-run",
         "planning",
         "drainage-runs",
         work_class::gang,
         job_kind::gang,
         4,
         10,
         {4 * milli, 6 * gibibyte, 0},
         milliseconds(400),
         milliseconds(1'500),
         true,
         mix_key::own,
         4},
        {"archive-scan",
         "archive",
         "archive-scans",
         work_class::batch,
         job_kind::batch,
         4,
         16,
         {1 * milli, 2 * gibibyte, 0},
         milliseconds(500),
         milliseconds(2'500),
         true,
         mix_key::own,
         8},
    };
}

std::vector<work_template> lima_work()
{
    return {
        {"unlock-code",
         "unlocks",
         "unlock-codes",
         work_class::urgent,
         job_kind::request,
         1,
         1,
         {200, 128, 0},
         milliseconds(10),
         milliseconds(60),
         true,
         mix_key::own,
         18},
        {"charge",
         "payments",
         "charges",
         work_class::urgent,
         job_kind::request,
         1,
         1,
         {200, 256, 0},
         milliseconds(15),
         milliseconds(90),
         false,
         mix_key::own,
         10},
        {"reconciliation",
         "payments",
         "reconciliation",
         work_class::batch,
         job_kind::batch,
         2,
         8,
         {2 * milli, 8 * gibibyte, 0},
         milliseconds(500),
         milliseconds(2'000),
         true,
         mix_key::own,
         5},
        {"usage-rollup",
         "usage",
         "usage-rollups",
         work_class::batch,
         job_kind::batch,
         8,
         24,
         {1 * milli, 3 * gibibyte, 0},
         milliseconds(400),
         milliseconds(1'800),
         true,
         mix_key::own,
         6},
        {"cooperative-close",
         "cooperative",
         "cooperative-close",
         work_class::gang,
         job_kind::gang,
         3,
         6,
         {2 * milli, 4 * gibibyte, 0},
         milliseconds(500),
         milliseconds(1'200),
         true,
         mix_key::own,
         3},
    };
}

std::vector<work_template> all_work()
{
    std::vector<work_template> work = almaty_work();
    const std::vector<work_template> lima = lima_work();
    work.insert(work.end(), lima.begin(), lima.end());
    return work;
}

/// Draws items from the templates with one seeded generator.
class mix_maker
{
public:
    explicit mix_maker(std::uint64_t seed) : random_(seed) {}

    mix_item make(const work_template& from)
    {
        mix_item made;
        job_spec& spec = made.spec;
        spec.id = job_id(absl::StrFormat("%s-%05d", from.name, ++number_));
        spec.team = team_name(from.team);
        spec.queue = queue_name(from.queue);
        spec.kind = from.kind;
        spec.name = from.name;
        spec.tasks = draw(from.least_tasks, from.most_tasks);
        spec.each = from.each;
        spec.run_time = milliseconds(draw(
            static_cast<std::uint32_t>(from.least_run.count()),
            static_cast<std::uint32_t>(from.most_run.count())));
        spec.repeatable = from.repeatable;
        spec.payload = payload_of(spec);
        made.policy = from.policy;
        made.key = from.key;
        if (from.kind == job_kind::request)
        {
            spec.deadline = request_deadline;
        }
        return made;
    }

    /// One of them, by weight.
    const work_template& pick(const std::vector<work_template>& from)
    {
        unsigned total = 0;
        for (const work_template& each : from)
        {
            total += each.weight;
        }
        unsigned drawn = draw(1, total);
        for (const work_template& each : from)
        {
            if (drawn <= each.weight)
            {
                return each;
            }
            drawn -= each.weight;
        }
        return from.back();
    }

    void shuffle(std::vector<mix_item>& items)
    {
        std::shuffle(items.begin(), items.end(), random_);
    }

private:
    std::uint32_t draw(std::uint32_t least, std::uint32_t most)
    {
        return std::uniform_int_distribution<std::uint32_t>(least, most)(
            random_);
    }

    /// The stand-in workers read their part from the payload.
    static std::string payload_of(const job_spec& spec)
    {
        if (spec.kind == job_kind::service)
        {
            return {};
        }
        return nlohmann::json{
            {"run_ms", spec.run_time.count()},
            {"answer", "done " + spec.id.str()}}
            .dump();
    }

    std::mt19937_64 random_;
    std::size_t number_ = 0;
};

work_template service(
    const std::string& name,
    const std::string& team,
    const std::string& queue,
    const resources& each)
{
    work_template made;
    made.name = name;
    made.team = team;
    made.queue = queue;
    made.policy = work_class::service;
    made.kind = job_kind::service;
    made.least_tasks = service_executors;
    made.most_tasks = service_executors;
    made.each = each;
    return made;
}

/// Work that must be refused, each for a reason of its own.
void add_refused(mix_maker& maker, std::vector<mix_item>& to)
{
    const work_template scan = almaty_work().back();
    mix_item too_large = maker.make(scan);
    too_large.spec.each = {64 * milli, 256 * gibibyte, 0};
    to.push_back(too_large);
    mix_item no_accelerator = maker.make(scan);
    no_accelerator.spec.each.accelerators = 1;
    to.push_back(no_accelerator);
    mix_item unknown_queue = maker.make(scan);
    unknown_queue.spec.queue = queue_name("no-such-queue");
    to.push_back(unknown_queue);
    mix_item wrong_team = maker.make(scan);
    wrong_team.spec.queue = queue_name("charges");
    to.push_back(wrong_team);
    for (const mix_key key : {mix_key::none, mix_key::unknown, mix_key::other})
    {
        mix_item wrong_key = maker.make(scan);
        wrong_key.key = key;
        to.push_back(wrong_key);
    }
}

void add_cancelled(
    mix_maker& maker, std::size_t count, std::vector<mix_item>& to)
{
    const work_template scan = almaty_work().back();
    for (std::size_t made = 0; made < count; ++made)
    {
        mix_item item = maker.make(scan);
        item.cancel = true;
        to.push_back(item);
    }
}

constexpr std::size_t jobs_for_one_cancelled = 30;

} // namespace

std::vector<mix_item> make_sample_mix(std::uint64_t seed, std::size_t size)
{
    mix_maker maker(seed);
    std::vector<mix_item> items;
    const std::vector<work_template> work = all_work();
    while (items.size() < size)
    {
        items.push_back(maker.make(maker.pick(work)));
    }
    add_refused(maker, items);
    add_cancelled(maker, size / jobs_for_one_cancelled + 1, items);
    maker.shuffle(items);
    std::vector<mix_item> services;
    for (std::size_t centre = 0; centre < service_data_centres; ++centre)
    {
        services.push_back(maker.make(service(
            "planning-service",
            "planning",
            "planning-service",
            {8 * milli, 8 * gibibyte, 0})));
        services.push_back(maker.make(service(
            "billing-service",
            "billing",
            "billing-service",
            {4 * milli, 8 * gibibyte, 0})));
    }
    items.insert(items.begin(), services.begin(), services.end());
    return items;
}

} // namespace acaciastile
