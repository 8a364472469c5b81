#include "cell/shard_capacity.hpp"

#include "cell/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace acaciastile
{

namespace
{

/// Number of tasks of size `each` that fit on a worker of capacity `held`
/// while nothing else runs there.
std::int64_t count_slots(const resources& held, const resources& each)
{
    std::int64_t count = std::numeric_limits<std::int32_t>::max();
    auto bound = [&count](std::int64_t has, std::int64_t needs)
    {
        if (needs > 0)
        {
            count = std::min(count, has / needs);
        }
    };
    bound(held.milli_processors, each.milli_processors);
    bound(held.memory_mib, each.memory_mib);
    bound(held.accelerators, each.accelerators);
    return count;
}

} // namespace

bool could_hold(const shard_info& shard, const job_spec& spec)
{
    const std::int64_t wanted =
        spec.kind == job_kind::gang ? std::int64_t{spec.tasks} : 1;
    std::int64_t found = 0;
    for (const worker_entry& worker : shard.workers)
    {
        found += count_slots(worker.capacity, spec.each);
        if (found >= wanted)
        {
            return true;
        }
    }
    return false;
}

std::optional<shard_id> best_shard_for(
    const shard_map& shards, const job_spec& spec, const shard_id& without)
{
    std::optional<shard_id> best;
    std::uint64_t best_weight = 0;
    for (const shard_info& shard : shards.shards())
    {
        if (shard.id == without || !could_hold(shard, spec))
        {
            continue;
        }
        const std::uint64_t weight = impl::pair_weight(
            impl::hash_name(shard.id.str(), 0), spec.id.str());
        if (!best || weight > best_weight)
        {
            best = shard.id;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace acaciastile
