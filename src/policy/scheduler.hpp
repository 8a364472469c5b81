#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "domain/rules.hpp"
#include "domain/task_id.hpp"
#include "domain/worker_entry.hpp"
#include "policy/job_request.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace acaciastile
{

/// Whether new work may be placed on a worker.
enum class worker_state
{
    open,
    closed ///< Draining, leaving, unreachable or not yet sealed.
};

/// Starts a task on a worker.
struct placement
{
    task_id task;
    worker_id worker;
    /// Resources that the start command requests on the worker: the declared
    /// amount, or less in queues that allow oversubscription.
    resources granted;
};

/// Preempts a running task by checkpoint.
struct preemption
{
    task_id task;
    worker_id worker;
};

struct decisions
{
    std::vector<placement> placements;
    std::vector<preemption> preemptions;
};

/// How a task left its worker, for estimates and quarantine.
struct task_end
{
    bool succeeded = true;
    bool worker_fault = false; ///< The worker failed or refused it.
    bool stopped = false;      ///< By command or lapse; no evidence of a fault.
    milliseconds ran{0};
    resources peak_usage;
};

/// Why a job waits, from the state that the decision used.
struct explanation
{
    std::string reason;                 ///< Stable code, for example `limit`.
    std::string sentence;               ///< Text for users.
    std::size_t place_in_queue = 0;     ///< From one; zero where not queued.
    std::size_t workers_that_fit = 0;   ///< With capacity for one task now.
    std::size_t workers_that_could = 0; ///< Large enough when empty.
};

/// Decides what runs where for the workers of one owner. Single-threaded,
/// without I/O, clock or randomness of its own: the same calls give the same
/// decisions.
///
/// A placement returned by `decide` counts as occupying its worker from that
/// moment until `end` is called for the task.
class scheduler
{
public:
    virtual ~scheduler() = default;

    virtual void set_rules(const rules& in_force) = 0;

    /// Adds a worker or updates its capacity. New workers are closed until
    /// set open.
    virtual void set_worker(const worker_entry& worker) = 0;
    virtual void set_worker_state(const worker_id& id, worker_state state) = 0;
    virtual void remove_worker(const worker_id& id) = 0;

    /// Sets the upper bound of resources for a team's running tasks here.
    virtual void
    set_allowance(const team_name& team, const resources& amount) = 0;

    /// Adds a job's waiting tasks, or more tasks to a job known already.
    virtual void enqueue(const job_request& request) = 0;

    /// Removes a job's waiting tasks from the queue.
    virtual void withdraw(const job_id& job) = 0;

    /// Records a task that already runs on a worker; used after a take-over.
    virtual void add_running(
        const job_request& job,
        std::uint32_t index,
        const worker_id& worker) = 0;

    /// Records that a placed task ended, or is known not to have started.
    virtual void end(const task_id& task, const task_end& ended) = 0;

    /// Records a running task's measured usage, which lags behind.
    virtual void set_usage(const task_id& task, const resources& usage) = 0;

    /// Decides at most `limit` placements.
    [[nodiscard]] virtual decisions decide(instant now, std::size_t limit) = 0;

    /// Errors: `can_never_run` where no worker known here could hold one task
    /// of it, or, for a gang, where all workers empty could not hold it whole.
    [[nodiscard]] virtual result<void>
    check_feasible(const job_request& request) const = 0;

    /// Errors: `unknown_job`.
    [[nodiscard]] virtual result<explanation>
    explain(const job_id& job) const = 0;

    /// Resources granted to the team's running tasks.
    [[nodiscard]] virtual resources usage_of(const team_name& team) const = 0;

    /// Resources declared by the team's waiting tasks.
    [[nodiscard]] virtual resources demand_of(const team_name& team) const = 0;
};

} // namespace acaciastile
