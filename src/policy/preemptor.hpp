#pragma once

#include "policy/decision_state.hpp"
#include "policy/reservations.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// Room kept for urgent work while a checkpoint makes it.
struct urgent_claim
{
    worker_slot worker = no_slot;
    resources size;
    job_slot job = no_slot;
    std::uint64_t order = 0; ///< Of that job.
    instant until{};
};

/// Makes room by checkpoints: for urgent work that finds none, and for gangs
/// whose reservation waits beyond its bound. Takes running tasks of
/// preemptible queues alone, the smallest amount first.
class preemptor
{
public:
    preemptor(decision_state& state, reservations& reserved)
        : state_(state), reserved_(reserved)
    {
    }

    /// Gives back claims that are used, lapsed or no longer possible, and
    /// keeps the standing headroom.
    void refresh();
    /// For urgent work that is still waiting.
    void preempt_for_urgent(decisions& decided);
    /// For reservations beyond their bound.
    void preempt_for_reservations(decisions& decided);

private:
    struct victims
    {
        std::int64_t cost = 0; ///< Thousandths of a core to be stopped.
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
