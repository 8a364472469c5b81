#include "site.hpp"

#include <algorithm>
#include <memory>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
/// The first jobs last until they are cancelled, the others work for a time.
constexpr std::size_t lasting_jobs = 3;
constexpr std::size_t job_count = 6;
constexpr std::int64_t batch_work_ms = 9'000;
constexpr std::int64_t lasting_work_ms = 600'000;
/// One executor of eight crashes at a time, each in its turn.
constexpr std::int64_t crash_every_ms = 3'000;
constexpr std::int64_t down_ms = 2'000;
constexpr std::int64_t crashes_until_ms = 90'000;
constexpr std::int64_t end_ms = 100'000;

std::string job_name(std::size_t number)
{
    return "00000000000000" + std::to_string(10 + number);
}

} // namespace

/// Executors crash, one after the other, whatever runs on them. A job of which
/// no run has ever ended `failed` must not be shown as `failed`.
void scenario_crashes(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string& task)
    {
        for (std::size_t n = 0; n < lasting_jobs; ++n)
        {
            if (task.rfind(job_name(n), 0) == 0)
            {
                return lasting_work_ms;
            }
        }
        return batch_work_ms;
    };
    at.start();
    at.when_ready(
        [&at]
        {
            auto left = std::make_shared<std::size_t>(job_count);
            auto failed = std::make_shared<std::size_t>(0);
            for (std::size_t n = 0; n < job_count; ++n)
            {
                json step{
                    {"count", 2},
                    {"cpu", 2000},
                    {"memMb", 1024},
                    {"estRuntimeMs", batch_work_ms}};
                if (n < lasting_jobs)
                {
                    step["longRunning"] = true;
                }
                const json job{
                    {"taskSpec", "work"}, {"steps", json::array({step})}};
                at.caller.call(
                    *at.vms[n % at.vms.size()],
                    "POST",
                    job_name(n),
                    job,
                    [&at, n, left, failed](unsigned status, const std::string&)
                    {
                        if (status != 200)
                        {
                            at.finish(
                                outcome::could_not_run,
                                "a job was not accepted");
                            return;
                        }
                        at.await_end(
                            job_name(n),
                            end_ms,
                            [&at, n, left, failed](const std::string& state)
                            {
                                const bool has_failed_run = std::any_of(
                                    at.group.events.begin(),
                                    at.group.events.end(),
                                    [&](const run_event& each) {
                                        return each.how == "failed" &&
                                               each.task.rfind(
                                                   job_name(n), 0) == 0;
                                    });
                                if (state == "failed" && !has_failed_run)
                                {
                                    ++*failed;
                                    at.in.note(
                                        "job " + job_name(n) +
                                        " is shown as failed, and none of its "
                                        "runs has ended so");
                                }
                                if (--*left > 0)
                                {
                                    return;
                                }
                                at.finish(
                                    *failed > 0 ? outcome::broken
                                                : outcome::held,
                                    std::to_string(*failed) + " of " +
                                        std::to_string(job_count) +
                                        " jobs are shown as failed without "
                                        "cause");
                            });
                    });
            }
            if (!at.trouble)
            {
                return;
            }
            auto next = std::make_shared<std::size_t>(0);
            auto crash = std::make_shared<std::function<void()>>();
            *crash = [&at, next, crash]
            {
                if (at.in.now() > crashes_until_ms)
                {
                    return;
                }
                executor& each = *at.executors[*next];
                *next = (*next + 1) % at.executors.size();
                each.crash();
                at.in.after(down_ms, [&each] { each.start(); });
                at.in.after(crash_every_ms, *crash);
            };
            at.in.after(3'000, *crash);
        });
}

} // namespace review
