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
    void make_room_for_urgent(decisions& made);
    /// For reservations beyond their bound.
    void make_room_for_reserved(decisions& made);

private:
    struct victims
    {
        std::int64_t cost = 0; ///< Thousandths of a core to be stopped.
        std::vector<task_ref> tasks;
    };

    void renew_headroom();
    void drop(std::size_t at);
    [[nodiscard]] bool is_claimed(job_slot job) const;
    [[nodiscard]] bool is_claimed_worker(worker_slot worker) const;
    void make_room_for(job_slot slot, decisions& made);
    [[nodiscard]] std::vector<task_ref>
    preemptible_on(worker_slot worker, double above_share) const;
    [[nodiscard]] victims
    choose(worker_slot worker, const resources& size, double above_share) const;
    void stop(const std::vector<task_ref>& tasks, decisions& made);

    decision_state& state_;
    reservations& reserved_;
    std::vector<urgent_claim> claims_;
    std::vector<std::pair<worker_slot, resources>> standing_;
    resources headroom_;
    std::size_t headroom_workers_ = 0;
    worker_slot next_worker_ = 0;
    instant next_plan_{};
};

} // namespace acaciastile::impl
