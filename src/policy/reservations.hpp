#pragma once

#include "policy/decision_state.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// Room that is kept on one worker.
struct reserved_worker
{
    worker_slot worker = no_slot;
    std::int64_t tasks = 0;
};

/// Room kept until one job fits: a gang, or one task of a job that waited
/// long. No other job takes it for longer than until `ready_at`.
struct reservation
{
    job_slot job = no_slot;
    std::uint64_t order = 0; ///< Of the job; its slot may be used again.
    resources size;          ///< Of one task.
    std::int64_t tasks = 0;
    std::vector<reserved_worker> workers;
    instant created_at{};
    instant ready_at{};
    bool starving = false;  ///< Waited so long that it yields to nothing.
    bool preempted = false; ///< Checkpoints were asked for on its behalf.
    instant next_attempt{}; ///< When other workers are looked at again.
};

/// The reservations in force. Each keeps its own room, so that gangs do not
/// take from each other what they wait for; one that is ready goes first.
class reservations
{
public:
    explicit reservations(decision_state& state) : state_(state) {}

    /// Drops what is no longer needed, possible or in time.
    void refresh();
    /// Makes reservations for jobs that waited beyond their patience.
    void plan();

    [[nodiscard]] const std::vector<reservation>& all() const noexcept
    {
        return active_;
    }
    [[nodiscard]] std::vector<reservation>& all() noexcept { return active_; }

    /// Gives the kept room free, or keeps it again.
    void release(const reservation& one);
    void hold(const reservation& one);
    void drop(std::size_t at);

    [[nodiscard]] bool has(job_slot job) const;
    /// True where a worker keeps room for a job that yields to nothing.
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
    /// Takes the soonest times that suffice, on as few workers as they allow.
    static void
    choose_workers(std::vector<availability>& times, reservation& planned);
    /// Reservations of jobs that need accelerators, or of the others.
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
