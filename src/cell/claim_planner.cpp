#include "cell/claim_planner.hpp"

namespace acaciastile
{

claim_planner claim_planner::create(instance_id self, claim_settings settings)
{
    return claim_planner(std::move(self), settings);
}

claim_planner::claim_planner(instance_id self, claim_settings settings)
    : self_(std::move(self)), settings_(settings)
{
}

claim_plan claim_planner::plan(
    instant now,
    const cell_state& cell,
    const shard_map& shards,
    const membership& members)
{
    const std::vector<member> alive = members.alive();
    track_members(now, alive);
    const std::map<shard_id, member> preferred =
        preferred_owners(shards, alive);
    const bool stable = now - stable_since_ >= settings_.stable_before_release;
    claim_plan plan;
    for (const shard_info& shard : shards.shards())
    {
        auto target = preferred.find(shard.id);
        if (target == preferred.end())
        {
            continue;
        }
        const shard_claim* claim = cell.claim(shard.id);
        const bool is_next_owner =
            next_owner(claim, target->second, members) == self_;
        const bool vacant = claim == nullptr || claim->released ||
                            owner_is_gone(now, shard.id, *claim, members);
        if (vacant && is_next_owner)
        {
            plan.claim.push_back(shard.id);
            continue;
        }
        const bool may_release =
            stable && plan.release.empty() &&
            now - released_at_ >= settings_.release_interval;
        if (!vacant && !is_next_owner && claim->owner == self_ && may_release &&
            !members.is_suspected(target->second.id))
        {
            plan.release.emplace(shard.id, target->second.id);
            released_at_ = now;
        }
    }
    return plan;
}

const instance_id& claim_planner::next_owner(
    const shard_claim* claim,
    const member& preferred,
    const membership& members)
{
    const bool successor_is_alive = claim != nullptr && claim->released &&
                                    members.is_alive(claim->successor);
    return successor_is_alive ? claim->successor : preferred.id;
}

bool claim_planner::owner_is_gone(
    instant now,
    const shard_id& shard,
    const shard_claim& claim,
    const membership& members)
{
    claim_observation& seen = observations_[shard];
    if (seen.epoch != claim.epoch)
    {
        seen = {claim.epoch, now};
    }
    if (claim.owner == self_ || members.is_alive(claim.owner))
    {
        return false;
    }
    if (members.dead_since(claim.owner) <= now)
    {
        return true;
    }
    return now - seen.first >= settings_.unknown_owner_grace;
}

void claim_planner::track_members(instant now, const std::vector<member>& alive)
{
    std::vector<instance_id> ids;
    ids.reserve(alive.size());
    for (const member& live : alive)
    {
        ids.push_back(live.id);
    }
    if (ids != last_alive_)
    {
        last_alive_ = std::move(ids);
        stable_since_ = now;
    }
}

} // namespace acaciastile
