#pragma once

#include "cell/membership.hpp"
#include "domain/inventory.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace acaciastile
{

/// A shard: the workers of one or more racks of a data centre. It has a single
/// owner.
struct shard_info
{
    shard_id id; ///< `data-centre/number`.
    data_centre_name data_centre;
    std::vector<worker_entry> workers; ///< Sorted by id.
};

/// The assignment of an inventory's workers to shards. It depends on nothing
/// but the inventory and the shard size. A rack is never split. The number of
/// shards of a data centre is the smallest power of two that keeps their mean
/// size within the bound, so that the set of shards seldom changes. A rack is
/// assigned to the shard with the highest rendezvous weight that stays within
/// 5/4 of the bound, or to the smallest shard if there is none.
///
/// Hashes are the same in all versions: XXH64 over the bytes of a name, without
/// length or terminator. The weight of a pair is
/// `XXH64(second name, seed = XXH64(first name, seed = 0))`, where the first
/// name is always the shard's id. Equal weights go to the lower id.
class shard_map
{
public:
    /// Mean number of workers in a shard that fits the specified byte budget.
    static constexpr std::size_t default_shard_workers = 128;

    /// Assigns the workers to shards with a mean size of at most
    /// `shard_workers`.
    [[nodiscard]] static shard_map
    create(const inventory& workers, std::size_t shard_workers);

    [[nodiscard]] const std::vector<shard_info>& shards() const noexcept
    {
        return shards_;
    }
    /// Returns null if there is no such shard.
    [[nodiscard]] const shard_info* find(const shard_id& id) const noexcept;
    /// Returns null if no shard contains the worker.
    [[nodiscard]] const shard_info*
    shard_of(const worker_id& id) const noexcept;

    /// Returns the shard selected by rendezvous hashing of a job's or request's
    /// id. Repeated submissions of one id go to the same shard, which detects
    /// duplicates. Null if the map is empty.
    [[nodiscard]] const shard_info* home_of(std::string_view id) const noexcept;

private:
    std::vector<shard_info> shards_;   ///< Sorted by id.
    std::vector<std::uint64_t> seeds_; ///< Hashes of the shards' ids.
    absl::flat_hash_map<worker_id, std::size_t> shard_of_worker_;
};

/// Returns the member that should own a shard, by rendezvous hashing among the
/// members of the shard's data centre or, if it has none, among all members.
/// Null if `alive` is empty.
[[nodiscard]] const member*
preferred_owner(const shard_info& shard, const std::vector<member>& alive);

/// Returns the members that should own the shards of the map, by consistent
/// hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018):
/// within a data centre no member owns more than the mean number of shards,
/// rounded up. Pairs of shard and member are visited in descending order of
/// rendezvous weight; a pair is skipped if the shard already has an owner or
/// the member has reached its bound. Shards of a data centre without live
/// members are distributed over all other members in the same way. Empty if
/// `alive` is empty.
[[nodiscard]] std::map<shard_id, member>
preferred_owners(const shard_map& map, const std::vector<member>& alive);

} // namespace acaciastile
