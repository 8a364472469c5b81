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

/// Time of day, in milliseconds since 1970. Only due times use it.
using wall_time = std::chrono::sys_time<milliseconds>;

/// Tasks of one shape that a job runs together.
struct step_spec
{
    std::uint32_t count = 1; ///< Tasks.
    resources each;          ///< What one task needs.
    milliseconds estimate{0};
    std::vector<std::uint32_t> after;   ///< Steps that must be done first.
    bool checkpoints = false;           ///< Saves progress; may be resumed.
    bool gang = false;                  ///< Works only with all tasks present.
    bool one_rack = false;              ///< Slower when spread over racks.
    bool speculative = false;           ///< May run in several copies.
    bool long_running = false;          ///< Runs until cancelled.
    bool uses_spare_processors = false; ///< Uses what serving tasks leave.
    std::string required_label;
    std::string data_rack;             ///< Slower on any other rack.
    std::uint32_t max_per_worker = 0;  ///< Zero: no limit.
    std::uint32_t max_unavailable = 0; ///< Lasting tasks down at once by us.
    std::string image;
    milliseconds latency_target{0};

    [[nodiscard]] bool operator==(const step_spec&) const = default;
};

/// What a caller hands in.
struct job_request
{
    std::string payload; ///< Handed to every task.
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 0; ///< Zero: runs once, at once.
    wall_time first_due{};
    milliseconds interval{0};
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

/// Number of one start of a task; rises with each start, over owners too.
using run_number = std::uint64_t;

/// How a run ended.
enum class run_end
{
    done,
    failed,
    stopped,     ///< By an order.
    lapsed,      ///< Its worker's lease ended.
    gang_broken, ///< Another member of its gang ended.
    gang_alone   ///< Its gang was not complete in time.
};

enum class job_state
{
    queued,
    running,
    completed,
    failed,
    cancelled
};

/// Nothing of a job in such a state starts again.
[[nodiscard]] constexpr bool is_final(job_state state) noexcept
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

} // namespace acaciastile::fleet
