#pragma once

#include "policy/failed_fit_cache.hpp"
#include "policy/fair_scheduler_settings.hpp"
#include "policy/job_table.hpp"
#include "policy/pending_withdrawals.hpp"
#include "policy/share_order.hpp"
#include "policy/team_ledger.hpp"
#include "policy/waiting_jobs.hpp"
#include "policy/worker_health.hpp"
#include "policy/worker_pool.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// Scheduler state read by placement, reservation and preemption, with the
/// with each other.
class decision_state
{
public:
    explicit decision_state(fair_scheduler_settings settings);

    void set_rules(const rules& in_force);
    void set_worker(const worker_entry& entry);
    void set_worker_state(const worker_id& id, worker_state state);
    void remove_worker(const worker_id& id);

    /// Returns the job's slot; creates the entry if the job is unknown.
    [[nodiscard]] job_slot open_job(const job_request& request);
    void add_waiting(job_slot slot, const std::vector<std::uint32_t>& indexes);
    void remove_waiting(job_slot slot, std::uint32_t index);
    void withdraw(job_slot slot);
    /// Withdraws a job; above a bounded number per `decide` it is deferred
    /// later, and not placed until then.
    void withdraw_or_defer(const job_id& job);
    /// Withdraws a bounded number of deferred jobs.
    void withdraw_deferred();
    /// Withdraws one deferred job immediately.
    void withdraw_at_once(const job_id& job);

    /// Resources charged to a worker for one task of the job.
    [[nodiscard]] resources charge_of(const job_entry& job) const;
    /// Resources that must fit into the team's remaining allowance at once.
    [[nodiscard]] resources allowance_needed(const job_entry& job) const;
    /// Moves the job to the queue of its current size class, or dequeues it if
    /// no task waits.
    void requeue(job_slot slot);

    /// Records a task as running on a worker and charges its resources.
    void start_task(
        job_slot slot,
        std::uint32_t index,
        worker_slot worker,
        const resources& charged);
    /// Ends a running task of a job; forgets the job after its last one.
    void end_task(job_slot slot, std::uint32_t index);

    /// Updates run estimates and worker health from a finished task.
    void record_end(job_slot slot, std::uint32_t index, const task_end& ended);
    /// Records a running task's measured usage.
    void set_usage(job_slot slot, std::uint32_t index, const resources& usage);

    /// Updates the worker's health record from a finished task.
    void update_worker_health(
        job_slot slot, std::uint32_t index, const task_end& ended);

    /// When a running task is expected to end, by its estimated or declared run
    /// time; services never.
    [[nodiscard]] instant expected_end(const task_ref& task) const;

    /// Called after a worker may have gained free capacity.
    void on_capacity_freed(worker_slot worker);

    [[nodiscard]] const waiting_jobs*
    waiting_of(queue_tier tier, team_slot team) const;

    fair_scheduler_settings settings;
    rules in_force;
    worker_pool workers;
    team_ledger teams;
    job_table jobs;
    failed_fit_cache failed_fits;
    worker_health health;
    pending_withdrawals withdrawn;
    run_estimates estimates;
    std::array<std::vector<waiting_jobs>, queue_tiers> waiting;
    std::array<share_order, queue_tiers> team_orders;
    resources largest_urgent; ///< Of the urgent tasks seen so far, by amount.
    instant now{};

private:
    std::size_t withdrawals_since_decision_ = 0;

    [[nodiscard]] instant queue_time_of(const job_entry& job) const;
    void dequeue(job_slot slot);
    void withdraw_if_known(const job_id& job);
    void reorder_team(team_slot team);
    void reorder_all_teams();
    void drop_if_idle(job_slot slot);

    [[nodiscard]] blame
    blame_of(const job_entry& job, bool worker_reported) const;
};

} // namespace acaciastile::impl
