#pragma once

#include "fleet/configuration.hpp"
#include "fleet/job_tracker.hpp"
#include "fleet/urgency.hpp"

#include <map>
#include <optional>
#include <utility>

namespace acaciastile::fleet
{

/// A step with waiting tasks, as one planning pass sees it.
struct waiting_step
{
    job_entry* job = nullptr;
    step_entry* step = nullptr;
    const step_spec* spec = nullptr;
    const queue_settings* queue = nullptr;
    const account_settings* account = nullptr; ///< Null if not configured.
    resources needs;
    /// Active tasks of this step on each worker; only set if the step limits
    /// the number of its tasks per worker.
    std::map<worker_handle, std::uint32_t> on_worker;
    urgency_class urgency = urgency_class::in_time;
    bool tight = false; ///< See `is_tight`.
    /// Why its permits lead to no start; nothing if it has none.
    std::optional<permit_wait> permit_wait_reason;

    /// Planning order: by urgency class, then by the queue's priority.
    [[nodiscard]] std::pair<urgency_class, std::uint32_t> rank() const
    {
        return {urgency, queue->priority};
    }
    [[nodiscard]] bool requires_permits() const
    {
        return queue->advice.has_value();
    }
    [[nodiscard]] bool has_cap() const
    {
        return account != nullptr && !account->cap.is_zero();
    }
    [[nodiscard]] bool is_partial_gang() const
    {
        return spec->gang && step->waiting < step->tasks.size();
    }
    /// Notes a reason unless one that is nearer to a start is noted.
    void note_wait(permit_wait reason)
    {
        if (!permit_wait_reason || reason < *permit_wait_reason)
        {
            permit_wait_reason = reason;
        }
    }
};

/// Number of a gang's members that fit into the resources of one worker,
/// limited by the step's maximum per worker.
[[nodiscard]] std::int64_t members_that_fit(
    const resources& available, const step_spec& spec, const resources& each);

} // namespace acaciastile::fleet
