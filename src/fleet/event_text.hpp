#pragma once

#include "fleet/job.hpp"

#include <string>

namespace acaciastile::fleet
{

/// Formats a task for log lines: `JOB.OCCURRENCE.STEP.INDEX`.
[[nodiscard]] inline std::string text_of(const task_ref& task)
{
    return task.step.job.str() + "." + std::to_string(task.step.occurrence) +
           "." + std::to_string(task.step.step) + "." +
           std::to_string(task.index);
}

/// Formats a time for log lines, in milliseconds without a unit.
[[nodiscard]] inline std::string text_of(milliseconds time)
{
    return std::to_string(time.count());
}

} // namespace acaciastile::fleet
