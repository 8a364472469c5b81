#pragma once

#include "cell/cell_state.hpp"
#include "domain/instant.hpp"

#include <map>
#include <vector>

namespace acaciastile
{

/// What a shard's owner knows of one team on its own shard.
struct team_load
{
    resources running; ///< Placed, or possibly still running.
    resources demand;  ///< Waiting.
};

/// What to do about the allowances of one shard.
struct allowance_plan
{
    /// The bound that the scheduler has to keep from now on, for each team.
    /// Never above what the log allows, and already cut where a cut is about
    /// to be written.
    std::map<team_name, resources> bounds;
    /// Records to write; a cut only where `running` is within it already.
    std::vector<cell_change> records;
    /// Teams that run more than their bound, with the excess: tasks to
    /// checkpoint or stop, after the grace.
    std::map<team_name, resources> excess;
};

struct allowance_settings
{
    milliseconds idle_after{1'000};    ///< Unused this long may be cut.
    milliseconds lowered_grace{5'000}; ///< Before running work is stopped.
    double headroom = 0.25; ///< Raised beyond the demand by this part.
};

/// Splits each team's upper limit over the shards. Decides for one shard.
class allowance_planner
{
public:
    [[nodiscard]] static allowance_planner
    create(shard_id shard, shard_epoch epoch, allowance_settings settings);

    [[nodiscard]] allowance_plan plan(
        instant now,
        const cell_state& cell,
        const std::map<team_name, team_load>& loads);
};

} // namespace acaciastile
