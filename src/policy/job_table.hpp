#pragma once

#include "domain/rules.hpp"
#include "policy/job_request.hpp"
#include "policy/queue_tier.hpp"
#include "policy/slots.hpp"

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
    instant since{};
};

/// A job of which tasks wait or run.
struct job_entry
{
    job_request request; ///< Its list of waiting tasks is kept below.
    team_slot team = no_slot;
    work_class policy = work_class::batch;
    std::uint64_t order = 0; ///< Ties of equal queueing times.
    absl::btree_set<std::uint32_t> waiting;
    absl::btree_map<std::uint32_t, running_task> running;

    [[nodiscard]] queue_tier tier() const noexcept { return tier_of(policy); }
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
