#include "site.hpp"

#include <algorithm>
#include <memory>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
/// Two members fit on an idle executor, one beside a task that lasts.
constexpr std::size_t gang_members = 16;
constexpr std::int64_t settled_ms = 3'000;
/// When the small jobs come, after the large one.
constexpr std::int64_t small_after_ms = 2'000;
constexpr std::int64_t patience_ms = 60'000;
constexpr std::int64_t lasting_work_ms = 600'000;
constexpr std::int64_t gang_work_ms = 6'000;
constexpr std::int64_t small_work_ms = 1'000;
constexpr std::size_t small_jobs = 4;
const std::string lasting_id = "00000000000000d1";
const std::string gang_id = "00000000000000d2";

std::string small_id(std::size_t number)
{
    return "00000000000000e" + std::to_string(number);
}

bool was_started(const site& at, const std::string& id)
{
    return std::any_of(
        at.group.events.begin(),
        at.group.events.end(),
        [&](const run_event& each)
        { return each.started && each.task.rfind(id, 0) == 0; });
}

json job_of(json step)
{
    return {{"taskSpec", "work"}, {"steps", json::array({std::move(step)})}};
}

void expect_accepted(site& at, const std::string& id, const json& job)
{
    at.caller.call(
        *at.vms[0],
        "POST",
        id,
        job,
        [&at](unsigned status, const std::string&)
        {
            if (status != 200)
            {
                at.finish(outcome::could_not_run, "a job was not accepted");
            }
        });
}

} // namespace

/// One task that lasts works on each executor. A gang comes that would need the
/// executors for itself, then small jobs, for which there is room.
void scenario_large_gang(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string& task)
    {
        return task.rfind(lasting_id, 0) == 0 ? lasting_work_ms
               : task.rfind(gang_id, 0) == 0  ? gang_work_ms
                                              : small_work_ms;
    };
    at.group.gang_size = [](const std::string& task)
    { return task.rfind(gang_id, 0) == 0 ? gang_members : 0; };
    at.start();
    at.when_ready(
        [&at]
        {
            expect_accepted(
                at,
                lasting_id,
                job_of(
                    {{"count", executor_count},
                     {"cpu", 1000},
                     {"memMb", 1024},
                     {"estRuntimeMs", small_work_ms},
                     {"antiAffinity", 1},
                     {"longRunning", true}}));
            at.in.after(
                settled_ms,
                [&at]
                {
                    if (at.trouble)
                    {
                        expect_accepted(
                            at,
                            gang_id,
                            job_of(
                                {{"count", gang_members},
                                 {"cpu", 7'600},
                                 {"memMb", 17'000},
                                 {"estRuntimeMs", gang_work_ms},
                                 {"gang", true}}));
                    }
                });
            at.in.after(
                settled_ms + small_after_ms,
                [&at]
                {
                    auto left = std::make_shared<std::size_t>(small_jobs);
                    auto lost = std::make_shared<std::size_t>(0);
                    for (std::size_t n = 0; n < small_jobs; ++n)
                    {
                        expect_accepted(
                            at,
                            small_id(n),
                            job_of(
                                {{"count", 1},
                                 {"cpu", 1000},
                                 {"memMb", 1024},
                                 {"estRuntimeMs", small_work_ms}}));
                        at.in.after(
                            500,
                            [&at, n, left, lost]
                            {
                                at.await_end(
                                    small_id(n),
                                    at.in.now() + patience_ms,
                                    [&at, n, left, lost](const std::string&)
                                    {
                                        *lost += was_started(at, small_id(n))
                                                     ? 0
                                                     : 1;
                                        if (--*left == 0)
                                        {
                                            at.finish(
                                                *lost > 0 ? outcome::broken
                                                          : outcome::held,
                                                std::to_string(*lost) +
                                                    " small jobs were "
                                                    "never started");
                                        }
                                    });
                            });
                    }
                });
        });
}

} // namespace review
