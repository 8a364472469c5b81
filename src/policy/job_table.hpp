#pragma once

#include "domain/rules.hpp"
#include "policy/job_request.hpp"
#include "policy/queue_tier.hpp"
#include "policy/run_estimates.hpp"
#include "policy/slots.hpp"
#include "policy/waiting_jobs.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// A task that occupies a worker.
struct running_task
{
    worker_slot worker = no_slot;
    resources charged; ///< Charged to its worker.
    resources granted; ///< Charged to its team's allowance.
    instant started_at{};
    bool checkpoint_requested = false; ///< By a preemption.
    bool probe = false;                ///< Probe of a quarantined worker.
};

/// The parts of a queue rule that scheduling uses.
struct queue_policy
{
    work_class policy = work_class::batch;
    bool preemptible = false;
    bool oversubscribe = false;

    [[nodiscard]] bool operator==(const queue_policy&) const = default;
};

/// The policy of a queue; the defaults of a batch queue if it is unknown.
[[nodiscard]] queue_policy
queue_policy_of(const rules& in_force, const queue_name& queue);

/// A job of which tasks wait or run.
struct job_entry
{
    job_request request; ///< Its list of waiting tasks is moved to `waiting`.
    team_slot team = no_slot;
    queue_policy queue;
    run_group group = no_slot; ///< Of its team and name.
    instant queue_time{}; ///< Arrival plus run time penalty; orders its team's
                          ///< queue.
    std::uint64_t order = 0; ///< Breaks ties of equal queue times.
    std::uint16_t queued_class = 0;
    bool queued = false; ///< Whether it is in its team's queue.
    /// Workers on which a task of it failed, while none succeeded.
    std::vector<worker_slot> failed_on;
    bool succeeded = false; ///< A task of it succeeded.
    absl::btree_set<std::uint32_t> waiting;
    absl::btree_map<std::uint32_t, running_task> running;

    [[nodiscard]] queue_tier tier() const noexcept
    {
        return tier_of(queue.policy);
    }
    [[nodiscard]] bool is_gang() const noexcept
    {
        return request.kind == job_kind::gang;
    }
    [[nodiscard]] bool is_idle() const noexcept
    {
        return waiting.empty() && running.empty();
    }
};

/// The jobs known to one scheduler, in slots that are used again.
class job_table
{
public:
    /// The job's slot, made where there is none; its tasks are not added.
    job_slot open(const job_request& request);
    /// `no_slot` where the job is not known.
    [[nodiscard]] job_slot find(const job_id& job) const;
    [[nodiscard]] const job_entry& at(job_slot slot) const
    {
        return jobs_[slot];
    }
    [[nodiscard]] job_entry& at(job_slot slot) { return jobs_[slot]; }
    [[nodiscard]] queue_key key_of(job_slot slot) const
    {
        return {jobs_[slot].queue_time, jobs_[slot].order, slot};
    }
    /// Forgets a job of which nothing waits or runs.
    void close(job_slot slot);

    [[nodiscard]] std::size_t size() const noexcept { return jobs_.size(); }

private:
    std::vector<job_entry> jobs_;
    std::vector<job_slot> unused_;
    absl::flat_hash_map<job_id, job_slot> by_id_;
    std::uint64_t next_order_ = 1;
};

} // namespace acaciastile::impl
