#include "support/capacity_measures.hpp"
#include "support/instance_rig.hpp"
#include "support/letter_size.hpp"
#include "support/resource_use.hpp"

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
    cpu.points.push_back({size, cpu_of_run(rig, time) * 1e3 / span});
    if (rig.running_tasks() != tasks)
    {
        cpu.cost += " (not all run)";
    }
}

/// Processor time and appended bytes of jobs from acceptance to end.
void add_starts(
    std::uint32_t tasks,
    capacity_series& cpu,
    capacity_series& bytes,
    capacity_series& appends)
{
    constexpr std::size_t workers = 107;
    constexpr seconds time{30};
    instance_rig rig(workers);
    rig.set_up();
    const double idle = cpu_of_run(rig, time);
    const embedded_log_counts before = rig.log_counts();
    const auto begin = cpu_time();
    rig.gateway().counting = false;
    rig.submit(1, tasks, milliseconds{2'000});
    rig.run_for(time);
    const std::chrono::duration<double> used = cpu_time() - begin;
    const embedded_log_counts after = rig.log_counts();
    const auto size = static_cast<double>(tasks);
    cpu.points.push_back({size, (used.count() - idle) * 1e6});
    bytes.points.push_back(
        {size, static_cast<double>(after.bytes - before.bytes)});
    appends.points.push_back(
        {size, static_cast<double>(after.appends - before.appends)});
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
    for (std::uint32_t tasks : {200, 400, 800})
    {
        add_starts(tasks, work, logged, appends);
    }
    return {
        cpu, memory, bytes, calls, log_bytes, log_reads, work, logged, appends};
}

} // namespace acaciastile::bench
