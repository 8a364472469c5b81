#pragma once

#include "policy/decision_state.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// Tasks for which one worker's capacity is reserved.
struct reserved_worker
{
    worker_slot worker = no_slot;
    std::int64_t tasks = 0;
};

/// Capacity reserved until one job fits: a gang, or one task of a job that
/// waited long. No other job takes it for longer than until `ready_at`.
struct reservation
{
    job_slot job = no_slot;
    std::uint64_t order = 0; ///< Of the job; its slot may be used again.
    resources size;          ///< Of one task.
    std::int64_t tasks = 0;
    std::vector<reserved_worker> workers;
    instant created_at{};
    instant ready_at{};
    bool starving = false;  ///< Urgent and status work may not use it.
    bool preempted = false; ///< Checkpoints were requested for it.
    instant next_attempt{}; ///< With workers outside the reservation.
};

/// Active reservations. Each has its own capacity, so that gangs do not
/// block each other; one that is complete is placed first.
class reservations
{
public:
    explicit reservations(decision_state& state) : state_(state) {}

    /// Drops reservations that are unneeded, infeasible or overdue.
    void refresh();
    /// Reserves capacity for jobs that have waited past the threshold.
    void plan();

    [[nodiscard]] const std::vector<reservation>& all() const noexcept
    {
        return active_;
    }
    [[nodiscard]] std::vector<reservation>& all() noexcept { return active_; }

    /// Releases a reservation's capacity temporarily, or holds it again.
    void release(const reservation& one);
    void hold(const reservation& one);
    void drop(std::size_t at);

    [[nodiscard]] bool has(job_slot job) const;
    /// Whether the worker has capacity reserved for a starving job.
    [[nodiscard]] bool is_reserved_by_starving_job(worker_slot worker) const;

private:
    struct candidate
    {
        bool starving = false;
        double share = 0.0;
        queue_key key;

        [[nodiscard]] bool operator<(const candidate& other) const;
    };

    struct availability
    {
        instant at;
        worker_slot worker = no_slot;
    };

    [[nodiscard]] std::vector<candidate> candidates() const;
    void add_candidates(
        team_slot team, double share, std::vector<candidate>& found) const;
    void add_candidate(
        job_slot slot, double share, std::vector<candidate>& found) const;
    void reserve(const candidate& chosen);
    /// Chooses the earliest sufficient capacity, on as few workers as possible.
    static void
    choose_workers(std::vector<availability>& times, reservation& planned);
    /// Number of active reservations with, or without, accelerators.
    [[nodiscard]] std::size_t active_count(bool accelerated) const;
    [[nodiscard]] std::vector<availability> availability_of_fleet(
        const resources& size, std::int64_t tasks, bool accelerated);
    void add_availability(
        worker_slot worker,
        const resources& size,
        std::int64_t tasks,
        std::vector<availability>& times) const;
    [[nodiscard]] bool is_valid(const reservation& one) const;
    [[nodiscard]] std::size_t reserved_worker_count() const;

    decision_state& state_;
    std::vector<reservation> active_;
    instant next_plan_{};
    worker_slot next_worker_ = 0;
};

} // namespace acaciastile::impl
