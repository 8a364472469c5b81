#include "site.hpp"

#include <algorithm>
#include <memory>

namespace review
{

namespace
{

constexpr std::size_t executor_count = 8;
constexpr std::size_t vm_count = 4;
constexpr std::int64_t work_ms = 25'000;
constexpr std::int64_t cut_after_ms = 3'000;
constexpr std::int64_t cut_ms = 10'000;
const std::string job_id = "00000000000000b1";

} // namespace

/// A partition with the VM that owns the fleet and one executor on one side,
/// the store and all others on the other. No task may run twice at a time.
void scenario_partition(site& at)
{
    at.add_executors(executor_count);
    for (std::size_t n = 0; n < vm_count; ++n)
    {
        at.add_vm();
    }
    at.group.work = [](const std::string&) { return work_ms; };
    at.start();
    at.when_ready(
        [&at]
        {
            const json job{
                {"taskSpec", "work"},
                {"steps",
                 {{{"count", 1},
                   {"cpu", 2000},
                   {"memMb", 1024},
                   {"estRuntimeMs", work_ms}}}}};
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
                    }
                });
            at.in.after(
                cut_after_ms,
                [&at]
                {
                    edge_vm* owner = at.owner();
                    const auto busy = std::find_if(
                        at.executors.begin(),
                        at.executors.end(),
                        [](const auto& each) { return each->running() > 0; });
                    if (owner == nullptr || busy == at.executors.end())
                    {
                        at.finish(outcome::could_not_run, "no run was seen");
                        return;
                    }
                    if (!at.trouble)
                    {
                        return;
                    }
                    executor* cut = busy->get();
                    at.in.note(
                        "the partition begins: " + owner->name() + " and " +
                        cut->id() + " on one side");
                    at.registry.cut(owner->store_port(), true);
                    cut->reachable_with = cut->token();
                    at.in.after(
                        cut_ms,
                        [&at, owner, cut]
                        {
                            at.in.note("the partition ends");
                            at.registry.cut(owner->store_port(), false);
                            cut->reachable_with.reset();
                        });
                });
            at.in.after(
                cut_after_ms + cut_ms + 3'000,
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
        });
}

} // namespace review
