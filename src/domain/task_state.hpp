#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Lifecycle state of a task.
enum class task_state
{
    queued,    ///< Waits for a worker; no attempt is running.
    starting,  ///< An attempt was assigned but its start is not confirmed.
    running,   ///< The worker confirmed the start of the attempt.
    succeeded, ///< Completed successfully; final.
    failed,    ///< Failed and will not be retried; final.
    cancelled, ///< Cancelled by the caller; final.
    unknown    ///< May have run and will not be retried; final.
};

inline constexpr std::array<std::pair<task_state, std::string_view>, 7>
    task_state_names{{
        {task_state::queued, "queued"},
        {task_state::starting, "starting"},
        {task_state::running, "running"},
        {task_state::succeeded, "succeeded"},
        {task_state::failed, "failed"},
        {task_state::cancelled, "cancelled"},
        {task_state::unknown, "unknown"},
    }};

[[nodiscard]] constexpr std::string_view to_string(task_state value) noexcept
{
    return task_state_names[static_cast<std::size_t>(value)].second;
}

[[nodiscard]] constexpr bool is_final(task_state value) noexcept
{
    return value >= task_state::succeeded;
}

} // namespace acaciastile
