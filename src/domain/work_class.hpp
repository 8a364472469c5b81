#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// The policies that a queue can choose between.
enum class work_class
{
    urgent,  ///< Starts before all else: unlock codes, late plans.
    status,  ///< Short requests whose caller waits for the answer.
    service, ///< Long-running tasks, spread over racks.
    batch,   ///< Tasks that may wait and be preempted.
    gang     ///< Jobs whose tasks all run at once or not at all.
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
