#pragma once

#include "fleet/job.hpp"

#include <cmath>
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

/// Formats a fraction for log lines, as whole hundredths.
[[nodiscard]] inline std::string percent_of(double fraction)
{
    constexpr double hundredths = 100.0;
    return std::to_string(std::lround(fraction * hundredths));
}

/// Formats resources for log lines: thousandths of a processor core, mebibytes
/// and accelerators, separated by slashes.
[[nodiscard]] inline std::string text_of(const resources& amount)
{
    return std::to_string(amount.milli_processors) + "/" +
           std::to_string(amount.memory_mib) + "/" +
           std::to_string(amount.accelerators);
}

/// A list of runs for one log line, as `TASK/RUN` separated by spaces. A long
/// list is cut, and the number of the runs left out follows as `+N`.
class run_list_text
{
public:
    void add(const task_ref& task, run_number run)
    {
        ++count_;
        if (count_ <= max_listed)
        {
            listed_ += (listed_.empty() ? "" : " ") + text_of(task) + "/" +
                       std::to_string(run);
        }
    }
    [[nodiscard]] std::size_t count() const noexcept { return count_; }
    [[nodiscard]] std::string str() const
    {
        return count_ <= max_listed
                   ? listed_
                   : listed_ + " +" + std::to_string(count_ - max_listed);
    }

private:
    /// Keeps a take-over of hundreds of workers within the log's buffer.
    static constexpr std::size_t max_listed = 16;
    std::string listed_;
    std::size_t count_ = 0;
};

} // namespace acaciastile::fleet
