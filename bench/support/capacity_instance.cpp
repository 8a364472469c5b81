#include "support/capacity_measures.hpp"
#include "support/instance_rig.hpp"
#include "support/letter_size.hpp"
#include "support/resource_use.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace acaciastile::bench
{

namespace
{

using std::chrono::hours;
using std::chrono::seconds;

constexpr std::uint32_t tasks_a_worker = 6;

capacity_series instance_series(
    std::string cost, std::string unit, std::string per, double size)
{
    return {
        "instance", std::move(cost), std::move(unit), std::move(per), size, {}};
}

/// Processor seconds of the rig for that long on the manual clock.
double cpu_of_run(instance_rig& rig, milliseconds time)
{
    rig.gateway().counting = false;
    rig.log().counting = false;
    const auto before = cpu_time();
    rig.run_for(time);
    const std::chrono::duration<double> used = cpu_time() - before;
    rig.gateway().counting = true;
    rig.log().counting = true;
    return used.count();
}

/// Idle of new work: beats to all workers, each with its running tasks.
void add_steady(
    std::size_t workers,
    capacity_series& cpu,
    capacity_series& memory,
    capacity_series& bytes,
    capacity_series& calls,
    capacity_series& log_bytes,
    capacity_series& log_reads)
{
    constexpr seconds time{60};
    const double before = heap_in_use();
    instance_rig rig(workers);
    rig.set_up();
    const auto tasks = static_cast<std::uint32_t>(workers) * tasks_a_worker;
    rig.submit(1, tasks, hours{24});
    rig.run_for(seconds{60});
    const auto size = static_cast<double>(workers);
    memory.points.push_back({size, heap_in_use() - before});
    const auto& counts = rig.gateway();
    const std::uint64_t sent = counts.bytes_sent + counts.bytes_received;
    const std::uint64_t called = counts.calls;
    const std::uint64_t read = rig.log().reads;
    const std::uint64_t log_before = rig.log().bytes;
    rig.run_for(time);
    const auto span = static_cast<double>(time.count());
    bytes.points.push_back(
        {size,
         static_cast<double>(counts.bytes_sent + counts.bytes_received - sent) /
             span});
    calls.points.push_back(
        {size, static_cast<double>(counts.calls - called) / span});
    log_reads.points.push_back(
        {size, static_cast<double>(rig.log().reads - read) / span});
    log_bytes.points.push_back(
        {size, static_cast<double>(rig.log().bytes - log_before) / span});
    double least = cpu_of_run(rig, time);
    for (int again = 0; again < 2; ++again)
    {
        least = std::min(least, cpu_of_run(rig, time));
    }
    cpu.points.push_back({size, least * 1e3 / span});
    if (rig.running_tasks() != tasks)
    {
        cpu.cost += " (not all run)";
    }
}

/// What the tasks of one job cost from acceptance to end.
struct whole_run
{
    double cpu = 0; ///< Seconds, those of an idle instance included.
    double bytes = 0;
    double appends = 0;
};

whole_run run_job(std::uint32_t tasks)
{
    constexpr std::size_t workers = 107;
    instance_rig rig(workers);
    rig.set_up();
    const embedded_log_counts before = rig.log_counts();
    rig.gateway().counting = false;
    rig.log().counting = false;
    const auto begin = cpu_time();
    rig.submit(1, tasks, milliseconds{2'000});
    rig.run_for(seconds{10});
    const std::chrono::duration<double> used = cpu_time() - begin;
    const embedded_log_counts after = rig.log_counts();
    return {
        used.count(),
        static_cast<double>(after.bytes - before.bytes),
        static_cast<double>(after.appends - before.appends)};
}

void add_starts(
    std::uint32_t tasks,
    capacity_series& cpu,
    capacity_series& bytes,
    capacity_series& appends)
{
    whole_run least = run_job(tasks);
    for (int again = 0; again < 2; ++again)
    {
        least.cpu = std::min(least.cpu, run_job(tasks).cpu);
    }
    const auto size = static_cast<double>(tasks);
    cpu.points.push_back({size, least.cpu * 1e6});
    bytes.points.push_back({size, least.bytes});
    appends.points.push_back({size, least.appends});
}

/// Times from submitting one-task jobs, several a second, to their starts.
void add_start_latency(
    std::size_t appends_per_second,
    capacity_series& median,
    capacity_series& most)
{
    constexpr std::size_t workers = 54;
    constexpr std::size_t jobs = 200;
    constexpr milliseconds between{130}; // 7.7 a second.
    instance_rig rig(workers, appends_per_second);
    rig.set_up();
    rig.submit(1, 8, milliseconds{1'000});
    rig.run_for(seconds{5});
    std::map<job_id, instant> submitted;
    const std::size_t seen = rig.journal().size();
    for (std::size_t n = 0; n < jobs; ++n)
    {
        submitted[make_job(1'000 + n, 1).id] = rig.now();
        rig.post(1'000 + n, 1, milliseconds{1'000});
        rig.run_for(between);
    }
    rig.run_for(seconds{10});
    std::vector<double> times;
    for (std::size_t n = seen; n < rig.journal().size(); ++n)
    {
        const run_entry& run = rig.journal()[n];
        const auto job = submitted.find(run.attempt.task.job);
        if (run.what == run_event::started && job != submitted.end())
        {
            times.push_back(
                static_cast<double>((run.at - job->second).count()));
        }
    }
    std::sort(times.begin(), times.end());
    const double interval =
        std::max(50.0, 1e3 / static_cast<double>(appends_per_second));
    median.points.push_back({interval, times[times.size() / 2]});
    most.points.push_back({interval, times.back()});
}

/// Time until changed rules are in force at the instance that took them.
void add_change_latency(milliseconds log_delay, capacity_series& most)
{
    constexpr std::size_t workers = 27;
    constexpr int changes = 20;
    instance_rig rig(workers);
    rig.set_up();
    rig.slow_log(log_delay);
    rig.run_for(seconds{10});
    milliseconds longest{0};
    for (int n = 0; n < changes; ++n)
    {
        longest = std::max(longest, rig.publish_again());
        rig.run_for(milliseconds{770});
    }
    most.points.push_back(
        {static_cast<double>(log_delay.count()),
         static_cast<double>(longest.count())});
}

} // namespace

std::vector<capacity_series> measure_instance()
{
    auto cpu = instance_series(
        "steady: processor, stand-ins too",
        "ms/s",
        "workers",
        letter::workers_an_instance);
    auto memory = instance_series(
        "steady: state, stand-ins too",
        "bytes",
        "workers",
        letter::workers_an_instance);
    auto bytes = instance_series(
        "steady: worker bodies, both ways",
        "bytes/s",
        "workers",
        letter::workers_an_instance);
    auto calls = instance_series(
        "steady: calls to workers",
        "1/s",
        "workers",
        letter::workers_an_instance);
    auto log_bytes = instance_series(
        "steady: log bodies, both ways",
        "bytes/s",
        "workers",
        letter::workers_an_instance);
    auto log_reads = instance_series(
        "steady: reads of the log",
        "1/s",
        "workers",
        letter::workers_an_instance);
    for (std::size_t workers : {27, 54, 107, 128})
    {
        add_steady(workers, cpu, memory, bytes, calls, log_bytes, log_reads);
    }
    const double share = static_cast<double>(letter::starts_a_second) /
                         static_cast<double>(letter::instances);
    auto work =
        instance_series("tasks run whole: processor", "us", "tasks", share);
    auto logged =
        instance_series("tasks run whole: log", "bytes", "tasks", share);
    auto appends =
        instance_series("tasks run whole: appends", "appends", "tasks", share);
    for (std::uint32_t tasks : {1'000, 2'000, 4'000})
    {
        add_starts(tasks, work, logged, appends);
    }
    // 192 streams share 300 appends a second.
    constexpr double append_interval = letter::shards * 1e3 / 300;
    auto start = instance_series(
        "submit to start, median", "ms", "ms an append", append_interval);
    auto latest = instance_series(
        "submit to start, latest", "ms", "ms an append", append_interval);
    for (std::size_t appends : {20, 2, 1})
    {
        add_start_latency(appends, start, latest);
    }
    auto change = instance_series(
        "change in force, latest", "ms", "ms of log delay", 100);
    for (milliseconds delay :
         {milliseconds{0}, milliseconds{100}, milliseconds{500}})
    {
        add_change_latency(delay, change);
    }
    return {
        cpu,
        memory,
        bytes,
        calls,
        log_bytes,
        log_reads,
        work,
        logged,
        appends,
        start,
        latest,
        change};
}

} // namespace acaciastile::bench
