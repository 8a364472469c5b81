#pragma once

#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile
{

/// Settings of the scheduler, fixed at creation.
struct fair_scheduler_settings
{
    /// Quarantines workers that fail every task.
    bool quarantine = true;

    /// Reserves capacity for gangs and long-waiting tasks until they fit.
    bool reserve = true;
    std::size_t reservations = 1; ///< Per kind of worker: plain, accelerated.
    /// A job that waited this long takes precedence over team shares.
    milliseconds starvation_threshold{600'000};

    /// Preempts tasks in preemptible queues by checkpoint: for urgent work
    /// that does not fit, and for gangs that waited this long.
    bool preempt = true;
    milliseconds gang_preempts_after{600'000};

    /// One in this many workers reserves capacity for the largest urgent task
    /// seen; zero disables headroom.
    std::size_t headroom_worker_stride = 16;

    /// A job is ordered in its team's queue by its arrival plus this many
    /// times its expected run time, at most `max_run_time_penalty`, so that
    /// short jobs start before long ones.
    int run_time_penalty_factor = 8;
    milliseconds max_run_time_penalty{600'000};

    /// Charges a task by the largest recent measured usage of its team and
    /// job name if that is above the declared size.
    bool learn_sizes = true;

    /// In queues that allow oversubscription, charges and grants the measured
    /// usage also if it is below the declared size. Requires start commands
    /// that carry `placement::granted`.
    bool oversubscribe = false;
};

} // namespace acaciastile
