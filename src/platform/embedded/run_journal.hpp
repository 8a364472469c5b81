#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "domain/task_id.hpp"

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciastile
{

/// What truly happened to an attempt on a worker.
enum class run_event
{
    started,
    succeeded,
    failed,
    stopped,
    checkpointed,
    lapsed,
    killed ///< Its worker died.
};

[[nodiscard]] constexpr std::string_view to_string(run_event value) noexcept
{
    switch (value)
    {
    case run_event::started:
        return "started";
    case run_event::succeeded:
        return "succeeded";
    case run_event::failed:
        return "failed";
    case run_event::stopped:
        return "stopped";
    case run_event::checkpointed:
        return "checkpointed";
    case run_event::lapsed:
        return "lapsed";
    case run_event::killed:
        return "killed";
    }
    return "unknown";
}

/// One start or end, as it happened on the worker and whether or not anybody
/// was told of it.
struct run_entry
{
    instant at{}; ///< On the clock of the stand-ins.
    worker_id worker;
    std::uint64_t incarnation = 0;
    shard_epoch epoch = 0; ///< Of the message that started it.
    attempt_id attempt;
    run_event what = run_event::started;
    resources needs;    ///< As declared in the start.
    resources capacity; ///< Of the worker.

    [[nodiscard]] bool operator==(const run_entry&) const = default;
};

/// The ground truth of all stand-in workers, in order.
class run_journal
{
public:
    void add(run_entry entry)
    {
        entries_.push_back(std::move(entry));
        if (listener_)
        {
            listener_(entries_.back());
        }
    }

    [[nodiscard]] const std::vector<run_entry>& entries() const noexcept
    {
        return entries_;
    }

    /// Sets who is told of each entry as it happens.
    void on_entry(std::function<void(const run_entry&)> listener)
    {
        listener_ = std::move(listener);
    }

private:
    std::vector<run_entry> entries_;
    std::function<void(const run_entry&)> listener_;
};

} // namespace acaciastile
