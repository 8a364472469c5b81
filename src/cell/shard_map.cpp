#include "cell/shard_map.hpp"

#include "cell/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace acaciastile
{

namespace
{

using impl::hash_name;
using impl::pair_weight;

struct rack_group
{
    std::uint64_t order = 0; ///< Hash of the name.
    rack_name name;
    std::vector<const worker_entry*> workers;
};

using racks_by_name = std::map<rack_name, rack_group>;

std::map<data_centre_name, racks_by_name> group_racks(const inventory& workers)
{
    std::map<data_centre_name, racks_by_name> groups;
    for (const worker_entry& entry : workers.workers())
    {
        groups[entry.data_centre][entry.rack].workers.push_back(&entry);
    }
    return groups;
}

/// Sorts racks by the hash of their names, the order in which they are assigned
/// to shards. In alphabetical order a new rack would come before all racks with
/// greater names and could move them to other shards.
std::vector<rack_group> sort_by_hash(racks_by_name racks)
{
    std::vector<rack_group> list;
    list.reserve(racks.size());
    for (auto& [name, rack] : racks)
    {
        rack.name = name;
        rack.order = hash_name(name.str(), 0);
        list.push_back(std::move(rack));
    }
    std::stable_sort(
        list.begin(),
        list.end(),
        [](const rack_group& left, const rack_group& right)
        { return left.order < right.order; });
    return list;
}

std::size_t shard_count(std::size_t workers, std::size_t shard_workers)
{
    std::size_t count = 1;
    while (workers > count * shard_workers)
    {
        count *= 2;
    }
    return count;
}

std::vector<shard_info>
empty_shards(const data_centre_name& data_centre, std::size_t count)
{
    std::vector<shard_info> shards(count);
    for (std::size_t number = 0; number < count; ++number)
    {
        shards[number].id =
            shard_id(data_centre.str() + "/" + std::to_string(number));
        shards[number].data_centre = data_centre;
    }
    return shards;
}

/// Returns the index of the shard with the highest weight for the rack among
/// those that stay within `max_workers`, or of the smallest shard if none
/// does.
std::size_t choose_shard(
    const std::vector<shard_info>& shards,
    const std::vector<std::uint64_t>& seeds,
    const rack_group& rack,
    std::size_t max_workers)
{
    std::size_t smallest = 0;
    std::size_t best = shards.size();
    std::uint64_t best_weight = 0;
    for (std::size_t at = 0; at < shards.size(); ++at)
    {
        const std::size_t held = shards[at].workers.size();
        if (held < shards[smallest].workers.size())
        {
            smallest = at;
        }
        if (held + rack.workers.size() > max_workers)
        {
            continue;
        }
        const std::uint64_t weight = pair_weight(seeds[at], rack.name.str());
        if (best == shards.size() || weight > best_weight)
        {
            best = at;
            best_weight = weight;
        }
    }
    return best == shards.size() ? smallest : best;
}

void sort_workers(std::vector<worker_entry>& workers)
{
    std::sort(
        workers.begin(),
        workers.end(),
        [](const worker_entry& left, const worker_entry& right)
        { return left.id < right.id; });
}

std::vector<shard_info> split_data_centre(
    const data_centre_name& data_centre,
    racks_by_name racks,
    std::size_t shard_workers)
{
    std::size_t workers = 0;
    for (const auto& [name, rack] : racks)
    {
        workers += rack.workers.size();
    }
    std::vector<shard_info> shards =
        empty_shards(data_centre, shard_count(workers, shard_workers));
    std::vector<std::uint64_t> seeds;
    seeds.reserve(shards.size());
    for (const shard_info& shard : shards)
    {
        seeds.push_back(hash_name(shard.id.str(), 0));
    }
    const std::size_t max_workers = shard_workers * 5 / 4;
    for (const rack_group& rack : sort_by_hash(std::move(racks)))
    {
        const std::size_t at = choose_shard(shards, seeds, rack, max_workers);
        for (const worker_entry* entry : rack.workers)
        {
            shards[at].workers.push_back(*entry);
        }
    }
    for (shard_info& shard : shards)
    {
        sort_workers(shard.workers);
    }
    return shards;
}

} // namespace

shard_map shard_map::create(const inventory& workers, std::size_t shard_workers)
{
    const std::size_t bound = std::max<std::size_t>(shard_workers, 1);
    shard_map made;
    for (auto& [data_centre, racks] : group_racks(workers))
    {
        for (shard_info& shard :
             split_data_centre(data_centre, std::move(racks), bound))
        {
            made.shards_.push_back(std::move(shard));
        }
    }
    std::sort(
        made.shards_.begin(),
        made.shards_.end(),
        [](const shard_info& left, const shard_info& right)
        { return left.id < right.id; });
    made.shard_of_worker_.reserve(workers.workers().size());
    for (std::size_t at = 0; at < made.shards_.size(); ++at)
    {
        const shard_info& shard = made.shards_[at];
        made.seeds_.push_back(hash_name(shard.id.str(), 0));
        for (const worker_entry& entry : shard.workers)
        {
            made.shard_of_worker_.emplace(entry.id, at);
        }
    }
    return made;
}

const shard_info* shard_map::find(const shard_id& id) const noexcept
{
    auto at = std::lower_bound(
        shards_.begin(),
        shards_.end(),
        id,
        [](const shard_info& shard, const shard_id& wanted)
        { return shard.id < wanted; });
    if (at == shards_.end() || at->id != id)
    {
        return nullptr;
    }
    return &*at;
}

const shard_info* shard_map::shard_of(const worker_id& id) const noexcept
{
    auto found = shard_of_worker_.find(id);
    return found == shard_of_worker_.end() ? nullptr : &shards_[found->second];
}

const shard_info* shard_map::home_of(std::string_view id) const noexcept
{
    const shard_info* best = nullptr;
    std::uint64_t best_weight = 0;
    for (std::size_t at = 0; at < shards_.size(); ++at)
    {
        const std::uint64_t weight = pair_weight(seeds_[at], id);
        if (best == nullptr || weight > best_weight)
        {
            best = &shards_[at];
            best_weight = weight;
        }
    }
    return best;
}

} // namespace acaciastile
