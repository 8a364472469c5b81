#pragma once

#include "domain/work_class.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile::bench
{

/// Waiting times of one class, in seconds. Tasks that never started count
/// with the time until the end of the replay.
struct waiting_figures
{
    std::size_t tasks = 0;
    double p50_s = 0.0;
    double p99_s = 0.0;
    double longest_s = 0.0;
    std::size_t never_started = 0;
};

/// Results of replaying one workload with one scheduler.
struct outcome
{
    std::string workload;
    std::string scheduler;
    std::array<waiting_figures, work_class_names.size()> waiting;

    /// Parts of the fleet's processors, averaged while work waits.
    double granted_part = 0.0;
    double used_part = 0.0;
    /// Tasks of four cores and 8 GiB that would fit at once, on average.
    double largest_gang = 0.0;

    /// Error of the share over windows of ten minutes of backlog, relative
    /// to what weighted shares between the backlogged teams give.
    double largest_team_error = 0.0;
    double largest_team_worst = 0.0;
    double mean_team_error = 0.0;
    std::size_t windows = 0;
    std::vector<double> team_errors; ///< By team, -1 without a window.

    std::size_t starts = 0;
    std::size_t ends_well = 0;
    std::size_t preemptions = 0;
    double core_seconds_lost = 0.0; ///< To checkpoints and restarts.
    std::size_t lost_to_bad = 0;
    std::size_t settled_starts = 0; ///< Ten minutes after the faults began.
    std::size_t settled_lost = 0;
    std::size_t over_granted = 0;   ///< Placements beyond what a VM holds.
    std::size_t over_allowance = 0; ///< Placements beyond an allowance.
    double over_used_part = 0.0;    ///< Worker samples above by true use.
    double over_used_worst = 0.0;   ///< Largest true use over capacity.
    std::size_t two_places = 0;     ///< Placed while it already ran.

    double decision_us_mean = 0.0; ///< For each placement.
    double call_us_p99 = 0.0;      ///< For each call of decide.
    std::uint64_t digest = 0;      ///< Over all decisions, in order.
};

} // namespace acaciastile::bench
