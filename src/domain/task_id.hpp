#pragma once

#include "domain/ids.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace acaciastile
{

/// Identifies a task of a job. Indexes start at zero.
struct task_id
{
    job_id job;
    std::uint32_t index = 0;

    [[nodiscard]] bool operator==(const task_id&) const = default;
    [[nodiscard]] auto operator<=>(const task_id&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const task_id& id)
    {
        return H::combine(std::move(state), id.job, id.index);
    }
};

/// Identifies an attempt to run a task. Numbers start at one.
struct attempt_id
{
    task_id task;
    std::uint32_t number = 0;

    [[nodiscard]] bool operator==(const attempt_id&) const = default;
    [[nodiscard]] auto operator<=>(const attempt_id&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const attempt_id& id)
    {
        return H::combine(std::move(state), id.task, id.number);
    }
};

/// Formats as `job/index`.
[[nodiscard]] inline std::string to_string(const task_id& id)
{
    return id.job.str() + "/" + std::to_string(id.index);
}

/// Formats as `job/index#number`.
[[nodiscard]] inline std::string to_string(const attempt_id& id)
{
    return to_string(id.task) + "#" + std::to_string(id.number);
}

} // namespace acaciastile
