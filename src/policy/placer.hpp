#pragma once

#include "policy/decision_state.hpp"
#include "policy/reservations.hpp"

#include <cstddef>
#include <vector>

namespace acaciastile::impl
{

/// Places waiting tasks: teams by share, a team's jobs by age among those
/// whose size may fit.
class placer
{
public:
    placer(decision_state& state, reservations& reserved)
        : state_(state), reserved_(reserved)
    {
    }

    /// Prepares a `decide` call: requeues jobs and collects due probes.
    void begin();

    /// Places jobs whose reservation is complete.
    void place_reservations(std::size_t limit, decisions& decided);

    /// Places work of one tier until the limit is reached or nothing fits.
    void place_tier(queue_tier tier, std::size_t limit, decisions& decided);

private:
    /// Cursor into the queue of a size class.
    struct queue_cursor
    {
        queue_key key;
        const job_queue* queue = nullptr;
        job_queue::const_iterator at;
        std::size_t tried = 0;
    };

    [[nodiscard]] bool place_next(
        queue_tier tier, team_slot team, std::size_t limit, decisions& decided);
    void collect_cursors(queue_tier tier, const waiting_jobs& queue);
    [[nodiscard]] bool
    try_job(job_slot slot, std::size_t limit, decisions& decided);
    [[nodiscard]] bool place_one(job_slot slot, decisions& decided);
    [[nodiscard]] bool
    place_probe(job_slot slot, const resources& size, decisions& decided);
    [[nodiscard]] bool
    place_gang(job_slot slot, std::size_t limit, decisions& decided);
    [[nodiscard]] bool place_all(
        job_slot slot,
        std::size_t tasks,
        const std::vector<reserved_worker>& own,
        decisions& decided);
    /// A worker whose reserved capacity the task may backfill.
    [[nodiscard]] worker_slot
    pick_reserved(const job_entry& job, const resources& size) const;
    void refresh_reserved_classes();
    void refresh_candidate_classes(queue_tier tier);
    [[nodiscard]] bool should_attempt(reservation& one) const;
    [[nodiscard]] worker_slot
    pick(const job_entry& job, const resources& size) const;
    /// Spreads the tasks of a service over data centres and racks.
    [[nodiscard]] worker_slot
    pick_spread_worker(const job_entry& job, const resources& size) const;
    void place(
        job_slot slot,
        std::uint32_t index,
        worker_slot worker,
        const resources& charged,
        decisions& decided);

    decision_state& state_;
    reservations& reserved_;

    std::vector<queue_cursor> cursors_;
    std::vector<worker_slot> probes_due_;
    class_set candidate_classes_; ///< Classes worth trying in this tier.
    bool candidate_classes_stale_ = true;
    class_set probe_classes_;
    class_set reserved_classes_; ///< Classes that fit into reserved workers.
    std::vector<job_slot> to_requeue_; ///< Jobs to requeue.
};

} // namespace acaciastile::impl
