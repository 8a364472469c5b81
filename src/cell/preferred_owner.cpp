#include "cell/rendezvous.hpp"
#include "cell/shard_map.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

using impl::hash_name;
using impl::pair_weight;

/// A possible assignment of a shard to a member.
struct candidate
{
    std::uint64_t weight = 0;
    const shard_info* shard = nullptr;
    const member* owner = nullptr;
};

bool goes_first(const candidate& left, const candidate& right)
{
    if (left.weight != right.weight)
    {
        return left.weight > right.weight;
    }
    if (left.shard != right.shard)
    {
        return left.shard->id < right.shard->id;
    }
    return left.owner->id < right.owner->id;
}

/// The live members in the data centre; all live members if it has none.
std::vector<const member*>
eligible(const data_centre_name& data_centre, const std::vector<member>& alive)
{
    std::vector<const member*> local;
    std::vector<const member*> all;
    for (const member& one : alive)
    {
        all.push_back(&one);
        if (one.data_centre == data_centre)
        {
            local.push_back(&one);
        }
    }
    return local.empty() ? all : local;
}

/// All assignments of the shards to the members, by descending weight.
std::vector<candidate> all_pairs(
    const std::vector<const shard_info*>& shards,
    const std::vector<const member*>& owners)
{
    std::vector<candidate> pairs;
    pairs.reserve(shards.size() * owners.size());
    for (const shard_info* shard : shards)
    {
        const std::uint64_t seed = hash_name(shard->id.str(), 0);
        for (const member* owner : owners)
        {
            const std::uint64_t weight = pair_weight(seed, owner->id.str());
            pairs.push_back({weight, shard, owner});
        }
    }
    std::sort(pairs.begin(), pairs.end(), goes_first);
    return pairs;
}

/// Assigns the shards by weight, with a bound on the shards of each member so
/// that they are spread evenly.
void assign_within_bound(
    const std::vector<const shard_info*>& shards,
    const std::vector<const member*>& owners,
    std::map<shard_id, member>& assigned)
{
    const std::size_t most =
        (shards.size() + owners.size() - 1) / owners.size();
    std::map<const member*, std::size_t> load;
    for (const candidate& pair : all_pairs(shards, owners))
    {
        std::size_t& held = load[pair.owner];
        if (held < most && assigned.emplace(pair.shard->id, *pair.owner).second)
        {
            ++held;
        }
    }
}

} // namespace

const member*
preferred_owner(const shard_info& shard, const std::vector<member>& alive)
{
    const std::uint64_t seed = hash_name(shard.id.str(), 0);
    const member* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const member* one : eligible(shard.data_centre, alive))
    {
        const std::uint64_t weight = pair_weight(seed, one->id.str());
        const bool lower_id =
            best != nullptr && weight == best_weight && one->id < best->id;
        if (best == nullptr || weight > best_weight || lower_id)
        {
            best = one;
            best_weight = weight;
        }
    }
    return best;
}

std::map<shard_id, member>
preferred_owners(const shard_map& map, const std::vector<member>& alive)
{
    std::map<shard_id, member> assigned;
    if (alive.empty())
    {
        return assigned;
    }
    std::map<data_centre_name, std::vector<const shard_info*>> by_centre;
    for (const shard_info& shard : map.shards())
    {
        by_centre[shard.data_centre].push_back(&shard);
    }
    for (const auto& [data_centre, shards] : by_centre)
    {
        assign_within_bound(shards, eligible(data_centre, alive), assigned);
    }
    return assigned;
}

} // namespace acaciastile
