#pragma once

#include "domain/work_class.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile::bench
{

/// Waiting times of one work class, in seconds, until a task first starts on a
/// healthy worker. A task that never does so counts with the time until the end
/// of the replay, unless it was cancelled or given up.
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

    /// Fractions of the fleet's processors that are granted to tasks and truly
    /// used by them, averaged over the samples in which a team is
    /// backlogged.
    double granted_part = 0.0;
    double used_part = 0.0;
    /// Average number of further tasks of four cores and 8 GiB that would fit
    /// at once into the capacity not granted.
    double largest_gang = 0.0;

    /// Relative error of what a team holds, compared with its weighted share
    /// among the backlogged teams, over windows of ten minutes in which the
    /// team is backlogged throughout, and another team with it.
    double largest_team_error = 0.0;
    double largest_team_worst = 0.0;
    double mean_team_error = 0.0;
    std::size_t windows = 0;
    std::vector<double> team_errors; ///< Mean by team; -1 if no window.

    std::size_t starts = 0;
    std::size_t ends_well = 0;
    std::size_t preemptions = 0;
    double core_seconds_lost = 0.0; ///< To checkpoints and restarts.
    std::size_t lost_to_bad = 0;    ///< Starts on bad workers.
    std::size_t settled_starts = 0; ///< Ten minutes or more after bad_from.
    std::size_t settled_lost = 0;   ///< Settled starts on bad workers.
    std::size_t over_granted = 0;   ///< Placements beyond a worker's capacity.
    std::size_t over_allowance = 0; ///< Placements beyond a team's allowance.
    /// Fraction of worker samples in which true use exceeds capacity.
    double over_used_part = 0.0;
    double over_used_worst = 0.0; ///< Largest ratio of true use to capacity.
    std::size_t two_places = 0;   ///< Placements of a running or ended task.

    double decision_us_mean = 0.0; ///< Time in `decide` per placement.
    double call_us_p99 = 0.0;      ///< For one `decide` call.
    std::uint64_t digest = 0;      ///< Hash of all decisions, in order.
};

} // namespace acaciastile::bench
