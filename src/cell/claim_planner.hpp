#pragma once

#include "cell/cell_state.hpp"
#include "cell/membership.hpp"
#include "cell/shard_map.hpp"
#include "domain/instant.hpp"

#include <map>
#include <set>
#include <vector>

namespace acaciastile
{

struct claim_settings
{
    /// How long an owner that is not in the membership list may take to
    /// appear there before it counts as dead.
    milliseconds unknown_owner_grace{5'000};
    /// How long the set of live members must be unchanged before a live owner
    /// hands a shard over to its preferred owner.
    milliseconds stable_before_release{10'000};
    /// Minimum time between two such releases by one owner.
    milliseconds release_interval{2'000};
};

/// The shards to claim and to release.
struct claim_plan
{
    std::vector<shard_id> claim;
    /// Owned shards to hand over, each with its successor.
    std::map<shard_id, instance_id> release;
};

/// Decides which shards an instance claims and which it hands over, from the
/// claims in the log and the live members. No instance takes a shard from a
/// live owner; only the owner hands it over.
class claim_planner
{
public:
    [[nodiscard]] static claim_planner
    create(instance_id self, claim_settings settings);

    [[nodiscard]] claim_plan plan(
        instant now,
        const cell_state& cell,
        const shard_map& shards,
        const membership& members);

private:
    /// When this instance first saw the claim that is in force.
    struct claim_observation
    {
        shard_epoch epoch = 0;
        instant first{};
    };

    claim_planner(instance_id self, claim_settings settings);

    /// The successor named by a release if it is alive, otherwise the
    /// preferred owner.
    [[nodiscard]] static const instance_id& next_owner(
        const shard_claim* claim,
        const member& preferred,
        const membership& members);
    [[nodiscard]] bool owner_is_gone(
        instant now,
        const shard_id& shard,
        const shard_claim& claim,
        const membership& members);
    void track_members(instant now, const std::vector<member>& alive);

    instance_id self_;
    claim_settings settings_;
    std::map<shard_id, claim_observation> observations_;
    std::vector<instance_id> last_alive_;
    instant stable_since_{};
    instant released_at_{};
};

} // namespace acaciastile
