#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Scheduling policies of a queue.
enum class work_class
{
    urgent,  ///< Starts before all other classes: unlock codes, late plans.
    status,  ///< Short requests whose caller waits for the response.
    service, ///< Long-running tasks, spread across racks.
    batch,   ///< Tasks that may be delayed and preempted.
    gang     ///< Jobs whose tasks all run at the same time or not at all.
};

inline constexpr std::array<std::pair<work_class, std::string_view>, 5>
    work_class_names{{
        {work_class::urgent, "urgent"},
        {work_class::status, "status"},
        {work_class::service, "service"},
        {work_class::batch, "batch"},
        {work_class::gang, "gang"},
    }};

[[nodiscard]] constexpr std::string_view to_string(work_class value) noexcept
{
    return work_class_names[static_cast<std::size_t>(value)].second;
}

} // namespace acaciastile
