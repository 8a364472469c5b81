#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Where a task is in its life.
enum class task_state
{
    queued,    ///< Waits for a place; nothing of it runs.
    starting,  ///< An attempt was assigned; its start is not yet confirmed.
    running,   ///< The worker confirmed the attempt.
    succeeded, ///< Ended well; final.
    failed,    ///< Ended badly and is not tried again; final.
    cancelled, ///< Ended by the caller; final.
    unknown    ///< May have run and is not started again; final.
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
