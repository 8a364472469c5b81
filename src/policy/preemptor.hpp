#pragma once

#include "policy/decision_state.hpp"
#include "policy/reservations.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// Capacity reserved for an urgent task while preempted tasks checkpoint.
struct urgent_claim
{
    worker_slot worker = no_slot;
    resources size;
    job_slot job = no_slot;
    std::uint64_t order = 0; ///< Of that job.
    instant until{};
};

/// Preempts running tasks by checkpoint: for urgent work that does not fit and
/// for gangs whose reservation waits too long. Takes running tasks of
/// preemptible queues only, the smallest amount first.
class preemptor
{
public:
    preemptor(decision_state& state, reservations& reserved)
        : state_(state), reserved_(reserved)
    {
    }

    /// Releases claims that are used, expired or infeasible, and
    /// updates the reserved headroom.
    void refresh();
    /// Preempts for urgent work that is still waiting.
    void preempt_for_urgent(decisions& decided);
    /// Preempts for reservations that waited past `gang_preempts_after`.
    void preempt_for_reservations(decisions& decided);

private:
    struct victims
    {
        std::int64_t cost = 0; ///< In thousandths of a core.
        std::vector<task_ref> tasks;
    };

    void update_headroom();
    void drop_claim(std::size_t at);
    [[nodiscard]] bool is_job_claimed(job_slot job) const;
    [[nodiscard]] bool is_worker_claimed(worker_slot worker) const;
    void preempt_for(job_slot slot, decisions& decided);
    [[nodiscard]] std::vector<task_ref>
    preemptible_on(worker_slot worker, double above_share) const;
    [[nodiscard]] victims choose_victims(
        worker_slot worker, const resources& size, double above_share) const;
    void
    request_checkpoints(const std::vector<task_ref>& tasks, decisions& decided);

    decision_state& state_;
    reservations& reserved_;
    std::vector<urgent_claim> claims_;
    std::vector<std::pair<worker_slot, resources>> headroom_reservations_;
    resources headroom_size_;
    std::size_t headroom_worker_count_ = 0;
    worker_slot next_worker_ = 0;
    instant next_search_{};
};

} // namespace acaciastile::impl
