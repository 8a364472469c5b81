#include "site.hpp"

#include <algorithm>
#include <csignal>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
constexpr std::int64_t work_ms = 1'000;
constexpr std::int64_t down_ms = 1'000;
/// When the later job is sent, after the process was killed.
constexpr std::int64_t calm_ms = 8'000;
/// More than `finish_s`, 14 s, and the 3 s of the rule.
constexpr std::int64_t patience_ms = 40'000;
const std::string first_id = "00000000000000a7";
const std::string later_id = "00000000000000a8";

/// Without a `taskSpec` if `spec` is empty: empty fields are omitted.
json job_of(const std::string& spec)
{
    json job{
        {"steps",
         json::array(
             {{{"count", 2},
               {"cpu", 1000},
               {"memMb", 1024},
               {"estRuntimeMs", work_ms}}})}};
    if (!spec.empty())
    {
        job["taskSpec"] = spec;
    }
    return job;
}

void expect_end(
    site& at,
    edge_vm& vm,
    const std::string& id,
    const json& job,
    std::function<void(std::string)> then)
{
    at.caller.call(
        vm,
        "POST",
        id,
        job,
        [&at, id, then](unsigned status, const std::string&)
        {
            if (status != 200)
            {
                at.finish(outcome::could_not_run, "a job was not accepted");
                return;
            }
            at.await_end(id, at.in.now() + patience_ms, then);
        });
}

void send_later_job(site& at)
{
    expect_end(
        at,
        *at.vms.front(),
        later_id,
        job_of({}),
        [&at](const std::string& state)
        {
            const bool started = std::any_of(
                at.group.events.begin(),
                at.group.events.end(),
                [](const run_event& each)
                { return each.started && each.task.rfind(later_id, 0) == 0; });
            at.finish(
                started ? outcome::held : outcome::broken,
                "the job without a taskSpec is shown as " + state +
                    (started ? "" : " and was never started"));
        });
}

} // namespace

/// The process of the owner is killed. A job without a `taskSpec` that comes
/// later must still be run.
void scenario_no_spec(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string&) { return work_ms; };
    at.start();
    at.when_ready(
        [&at]
        {
            expect_end(
                at,
                *at.vms.front(),
                first_id,
                job_of("work"),
                [&at](const std::string& state)
                {
                    edge_vm* owner = at.owner();
                    if (state != "completed" || owner == nullptr)
                    {
                        at.finish(
                            outcome::could_not_run,
                            "the first job did not end");
                        return;
                    }
                    if (at.trouble)
                    {
                        at.in.note("process " + owner->name() + " is killed");
                        owner->stop();
                        at.in.after(down_ms, [owner] { owner->start(); });
                    }
                    at.in.after(calm_ms, [&at] { send_later_job(at); });
                });
        });
}

} // namespace review
