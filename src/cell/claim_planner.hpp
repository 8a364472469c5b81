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
    /// How long an owner that this instance never heard of may take to show
    /// itself before it counts as dead.
    milliseconds unknown_owner_grace{5'000};
    /// How long the members have to be the same before a live owner gives a
    /// shard to the member that should have it.
    milliseconds stable_before_release{10'000};
    /// Between two such releases of one owner.
    milliseconds release_interval{2'000};
};

/// What to do about the owners of shards.
struct claim_plan
{
    std::vector<shard_id> claim;
    /// Own shards to hand over, with the member to get each.
    std::map<shard_id, instance_id> release;
};

/// Decides which shards an instance claims and which it hands over, from the
/// claims in the log and the members that are alive. A live owner is never
/// displaced; it hands over by itself.
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
    struct claim_sight
    {
        shard_epoch epoch = 0;
        instant first{};
    };

    claim_planner(instance_id self, claim_settings settings);

    /// The successor that a release names, where it is alive, else the member
    /// that hashing prefers.
    [[nodiscard]] static const instance_id& next_owner(
        const shard_claim* claim,
        const member& preferred,
        const membership& members);
    [[nodiscard]] bool owner_is_gone(
        instant now,
        const shard_id& shard,
        const shard_claim& claim,
        const membership& members);
    void note_members(instant now, const std::vector<member>& alive);

    instance_id self_;
    claim_settings settings_;
    std::map<shard_id, claim_sight> sights_;
    std::vector<instance_id> last_alive_;
    instant stable_since_{};
    instant released_at_{};
};

} // namespace acaciastile
