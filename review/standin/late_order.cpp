#include "site.hpp"

#include <algorithm>
#include <memory>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
constexpr std::int64_t work_ms = 20'000;
/// All from when the first start order reaches an executor.
constexpr std::int64_t carried_out_after_ms = 5'000;
constexpr std::int64_t crash_after_ms = 3'300;
constexpr std::int64_t down_ms = 1'000;
constexpr std::int64_t end_after_ms = 12'000;
const std::string job_id = "00000000000000c7";

} // namespace

/// A start order gets no answer and is carried out seconds later. Meanwhile its
/// executor, which is idle, crashes and starts again under its id. The task
/// must not run twice at a time.
void scenario_late_order(site& at)
{
    at.add_executors(executor_count);
    for (int n = 0; n < 3; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string&) { return work_ms; };
    at.group.first_beat_ms = 1'000;
    at.start();
    auto chosen = std::make_shared<std::string>();
    at.group.late =
        [&at, chosen](const std::string& id, const std::string& target)
    {
        if (target != "/-/run-start" || (!chosen->empty() && *chosen != id))
        {
            return std::int64_t{0};
        }
        if (chosen->empty())
        {
            *chosen = id;
            executor* which = at.find(id);
            at.in.after(
                crash_after_ms,
                [&at, which]
                {
                    which->crash();
                    at.in.after(down_ms, [which] { which->start(); });
                });
            at.in.after(
                end_after_ms,
                [&at]
                {
                    const std::int64_t overlap =
                        longest_overlap(at.group, at.in.now());
                    at.finish(
                        overlap > 0 ? outcome::broken : outcome::held,
                        "two runs of the task were there at once for " +
                            std::to_string(std::max<std::int64_t>(0, overlap)) +
                            " ms");
                });
        }
        return at.trouble ? carried_out_after_ms : std::int64_t{0};
    };
    at.when_ready(
        [&at]
        {
            const json job{
                {"taskSpec", "work"},
                {"steps",
                 json::array(
                     {{{"count", 1},
                       {"cpu", 2000},
                       {"memMb", 1024},
                       {"estRuntimeMs", work_ms}}})}};
            at.in.after(
                3'000,
                [&at, job]
                {
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
                                    outcome::could_not_run,
                                    "the job was not accepted");
                            }
                        });
                });
        });
}

} // namespace review
