#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/resources.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::fleet
{

using account_name = tagged_name<struct account_tag>;
using service_name = tagged_name<struct service_tag>;

/// Wall-clock time, in milliseconds since the Unix epoch.
using wall_time = std::chrono::sys_time<milliseconds>;

/// One step of a job: a number of identical tasks.
struct step_spec
{
    std::uint32_t count = 1;  ///< Number of tasks.
    resources each;           ///< Resources that one task needs.
    milliseconds estimate{0}; ///< Declared run time of one task.
    /// Indexes of the steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;  ///< Tasks save checkpoints and can resume.
    bool gang = false;         ///< All tasks must run at the same time.
    bool one_rack = false;     ///< A gang runs slower across racks.
    bool speculative = false;  ///< A task may run in several copies.
    bool long_running = false; ///< Runs until cancelled.
    bool uses_spare_processors = false; ///< Batch work beside serving tasks.
    std::string required_label;         ///< Of the worker; empty: any worker.
    std::string data_rack;              ///< Tasks run slower in other racks.
    std::uint32_t max_per_worker = 0;   ///< Zero means no limit.
    /// Long-running tasks that this system may interrupt at the same time.
    std::uint32_t max_unavailable = 0;
    std::string image;
    milliseconds latency_target{0};

    [[nodiscard]] bool operator==(const step_spec&) const = default;
};

/// A job as a caller submits it.
struct job_request
{
    std::string payload; ///< Passed to every task.
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 0; ///< Zero: runs once, immediately.
    wall_time first_due{};         ///< When the first occurrence is due.
    milliseconds interval{0};      ///< Between the due times of occurrences.
};

/// One step in one occurrence of a job.
struct step_id
{
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    [[nodiscard]] bool operator==(const step_id&) const = default;
    [[nodiscard]] auto operator<=>(const step_id&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const step_id& id)
    {
        return H::combine(std::move(state), id.job, id.occurrence, id.step);
    }
};

/// One task; `index` counts from zero within its step.
struct task_ref
{
    step_id step;
    std::uint32_t index = 0;

    [[nodiscard]] bool operator==(const task_ref&) const = default;
    [[nodiscard]] auto operator<=>(const task_ref&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const task_ref& id)
    {
        return H::combine(std::move(state), id.step, id.index);
    }
};

/// Identifies one run of a task. Numbers increase with every start of a task,
/// also when the fleet's owner changes.
using run_number = std::uint64_t;

/// One run of one task.
struct run_ref
{
    task_ref task;
    run_number run = 0;

    [[nodiscard]] bool operator==(const run_ref&) const = default;
    [[nodiscard]] auto operator<=>(const run_ref&) const = default;

    template<class H>
    friend H AbslHashValue(H state, const run_ref& id)
    {
        return H::combine(std::move(state), id.task, id.run);
    }
};

/// How a run ended.
enum class run_end
{
    done,
    failed,
    stopped,     ///< The owner stopped it.
    lapsed,      ///< Its worker's lease expired.
    gang_broken, ///< Another member of its gang ended.
    gang_alone   ///< The other members of its gang did not start in time.
};

enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// True for states after which no task of the job starts again.
[[nodiscard]] constexpr bool is_final(job_state state) noexcept
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

} // namespace acaciastile::fleet
