#include "site.hpp"

#include <algorithm>
#include <memory>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
constexpr std::size_t lasting_tasks = 8;
constexpr std::size_t crashes = 3;
constexpr std::int64_t crash_every_ms = 5'000;
constexpr std::int64_t down_ms = 2'000;
/// When the later job is sent, after the last crash.
constexpr std::int64_t calm_ms = 12'000;
/// More than `finish_s`, 14 s, and the 3 s of the rule.
constexpr std::int64_t patience_ms = 40'000;
constexpr std::int64_t lasting_work_ms = 600'000;
constexpr std::int64_t short_work_ms = 1'000;
const std::string lasting_id = "00000000000000c1";
const std::string short_id = "00000000000000c2";

json job_of(std::size_t count, bool lasts)
{
    json step{
        {"count", count},
        {"cpu", 1000},
        {"memMb", 1024},
        {"estRuntimeMs", short_work_ms}};
    if (lasts)
    {
        step["longRunning"] = true;
    }
    return {{"taskSpec", "work"}, {"steps", json::array({step})}};
}

void send_short_job(site& at)
{
    std::size_t running = 0;
    for (const auto& each : at.executors)
    {
        running += each->running();
    }
    at.in.note(
        std::to_string(running) + " tasks run on " +
        std::to_string(at.executors.size()) + " executors with room for " +
        std::to_string(16 * at.executors.size()));
    at.caller.call(
        *at.vms[0],
        "POST",
        short_id,
        job_of(1, false),
        [&at](unsigned status, const std::string&)
        {
            if (status != 200)
            {
                at.finish(outcome::could_not_run, "the job was not accepted");
                return;
            }
            at.await_end(
                short_id,
                at.in.now() + patience_ms,
                [&at](const std::string& state)
                {
                    const bool started = std::any_of(
                        at.group.events.begin(),
                        at.group.events.end(),
                        [](const run_event& each) {
                            return each.started &&
                                   each.task.rfind(short_id, 0) == 0;
                        });
                    at.finish(
                        started ? outcome::held : outcome::broken,
                        "the later job is shown as " + state +
                            (started ? "" : " and was never started"));
                });
        });
}

} // namespace

/// The executor with most tasks crashes, three times in all, under tasks that
/// last. A job that comes later must still be run: nearly all room is free.
void scenario_lasting(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string& task) {
        return task.rfind(lasting_id, 0) == 0 ? lasting_work_ms : short_work_ms;
    };
    at.start();
    at.when_ready(
        [&at]
        {
            at.caller.call(
                *at.vms[0],
                "POST",
                lasting_id,
                job_of(lasting_tasks, true),
                [&at](unsigned status, const std::string&)
                {
                    if (status != 200)
                    {
                        at.finish(
                            outcome::could_not_run, "the job was not accepted");
                    }
                });
            for (std::size_t n = 1; n <= crashes && at.trouble; ++n)
            {
                at.in.after(
                    static_cast<std::int64_t>(n) * crash_every_ms,
                    [&at]
                    {
                        executor* busiest =
                            std::max_element(
                                at.executors.begin(),
                                at.executors.end(),
                                [](const auto& left, const auto& right)
                                { return left->running() < right->running(); })
                                ->get();
                        busiest->crash();
                        at.in.after(down_ms, [busiest] { busiest->start(); });
                    });
            }
            at.in.after(
                static_cast<std::int64_t>(crashes) * crash_every_ms + calm_ms,
                [&at] { send_short_job(at); });
        });
}

} // namespace review
