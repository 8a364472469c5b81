#include "site.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
constexpr std::size_t members = 4;
constexpr std::int64_t work_ms = 6'000;
/// When one member's executor crashes, from the gang's first start.
constexpr std::int64_t crash_after_ms = 3'200;
constexpr std::int64_t down_ms = 2'000;
constexpr std::int64_t end_ms = 40'000;
const std::string job_id = "00000000000000a1";

/// The checkpoints that the members of each run were started with.
std::map<std::uint64_t, std::multiset<std::string>>
checkpoints_by_run(const executor_group& group)
{
    std::map<std::uint64_t, std::multiset<std::string>> found;
    for (const run_event& each : group.events)
    {
        if (each.started)
        {
            found[each.run].insert(each.checkpoint);
        }
    }
    return found;
}

} // namespace

/// A gang that makes checkpoints loses one member with its executor. All
/// members of its next run must be started with the same checkpoint.
void scenario_gang(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string&) { return work_ms; };
    at.group.gang_size = [](const std::string&) { return members; };
    at.group.saves = [](const std::string&) { return true; };
    at.start();
    at.when_ready(
        [&at]
        {
            const json job{
                {"taskSpec", "work"},
                {"steps",
                 {{{"count", members},
                   {"cpu", 9000},
                   {"memMb", 1024},
                   {"estRuntimeMs", work_ms},
                   {"gang", true},
                   {"checkpointing", true}}}}};
            at.caller.call(
                *at.vms[0],
                "POST",
                job_id,
                job,
                [&at](unsigned status, const std::string&)
                {
                    if (status != 200)
                    {
                        at.finish(
                            outcome::could_not_run, "the job was not accepted");
                        return;
                    }
                    at.await_end(
                        job_id,
                        end_ms,
                        [&at](const std::string& state)
                        {
                            std::size_t mixed = 0;
                            for (const auto& [run, given] :
                                 checkpoints_by_run(at.group))
                            {
                                std::string text;
                                for (const std::string& each : given)
                                {
                                    text += each.empty() ? " none" : " " + each;
                                }
                                at.in.note(
                                    "run " + std::to_string(run) +
                                    " was started with the checkpoints" + text);
                                const bool same =
                                    given.count(*given.begin()) == given.size();
                                mixed += same ? 0 : 1;
                            }
                            at.finish(
                                mixed > 0 ? outcome::broken : outcome::held,
                                "the job is shown as " + state + ", " +
                                    std::to_string(mixed) +
                                    " runs of the gang had members with "
                                    "different checkpoints");
                        });
                });
            if (!at.trouble)
            {
                return;
            }
            auto begun = std::make_shared<bool>(false);
            at.group.on_event = [&at, begun](const run_event& event)
            {
                if (*begun || !event.started)
                {
                    return;
                }
                *begun = true;
                executor* which = at.find(event.executor);
                at.in.after(
                    crash_after_ms,
                    [&at, which]
                    {
                        which->crash();
                        at.in.after(down_ms, [which] { which->start(); });
                    });
            };
        });
}

} // namespace review
