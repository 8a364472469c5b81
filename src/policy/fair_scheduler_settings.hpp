#pragma once

#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile
{

/// What of the scheduler can be set when it is created.
struct fair_scheduler_settings
{
    /// Keeps work away from workers that fail everything they start.
    bool quarantine = true;

    /// Keeps room for gangs, and for tasks that wait long, until they fit.
    bool reserve = true;
    std::size_t reservations = 1; ///< Of each kind of worker.
    /// A job that waited this long goes before the shares of the teams.
    milliseconds starvation_threshold{600'000};

    /// Asks for checkpoints of tasks in preemptible queues: for urgent work
    /// that finds no room, and for gangs that waited this long.
    bool preempt = true;
    milliseconds gang_preempts_after{600'000};

    /// Every so many workers one keeps room for the largest urgent task seen;
    /// zero: none does.
    std::size_t headroom_worker_stride = 16;

    /// Within a team a job queues behind those that came up to this many
    /// times its expected run after it, but for at most `longest_head_start`.
    int run_time_penalty_factor = 8;
    milliseconds max_run_time_penalty{600'000};

    /// Counts a task on its worker by the largest of the last measured runs
    /// of its team and name, where that is above the declared size.
    bool learn_sizes = true;

    /// In queues that allow oversubscription, counts a task by what was
    /// measured also where that is below the declared size, and grants that.
    /// To be set only where start commands carry `placement::granted`.
    bool oversubscribe = false;
};

} // namespace acaciastile
