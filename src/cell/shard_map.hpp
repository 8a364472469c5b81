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

/// A group of workers with one owner: racks of one data centre.
struct shard_info
{
    shard_id id; ///< `data-centre/number`.
    data_centre_name data_centre;
    std::vector<worker_entry> workers; ///< Sorted by id.
};

/// The shards of an inventory: a pure function of it. A rack is never split;
/// a data centre has the least power of two of shards that keeps the mean
/// size within the bound, so that the set of shards seldom changes. A rack
/// goes to the shard that rendezvous hashing names unless that shard would
/// exceed 5/4 of the bound; then to the next one that has room.
///
/// Hashes are stable over versions: XXH64 over the bytes of a name as they
/// are, without length or terminator. The weight of a pair is
/// `XXH64(second name, seed = XXH64(first name, seed = 0))`, where the first
/// name is always the shard's id. Equal weights go to the lower id.
class shard_map
{
public:
    /// Mean number of workers in a shard that the letter's byte budget
    /// carries.
    static constexpr std::size_t default_shard_workers = 128;

    [[nodiscard]] static shard_map
    create(const inventory& workers, std::size_t shard_workers);

    [[nodiscard]] const std::vector<shard_info>& shards() const noexcept
    {
        return shards_;
    }
    /// Null where there is no such shard.
    [[nodiscard]] const shard_info* find(const shard_id& id) const noexcept;
    /// Null where no shard holds that worker.
    [[nodiscard]] const shard_info*
    shard_of(const worker_id& id) const noexcept;

    /// The shard where all copies of one job or request meet: rendezvous
    /// hashing of its id. Null where there is no shard.
    [[nodiscard]] const shard_info* home_of(std::string_view id) const noexcept;

private:
    std::vector<shard_info> shards_;   ///< Sorted by id.
    std::vector<std::uint64_t> seeds_; ///< Hash of each shard's id.
    absl::flat_hash_map<worker_id, std::size_t> shard_of_worker_;
};

/// The member that should own a shard: rendezvous hashing, members of the
/// shard's own data centre before all others. Null where there is none.
[[nodiscard]] const member*
preferred_owner(const shard_info& shard, const std::vector<member>& alive);

/// The members that should own the shards of the whole map, with counts that
/// differ little: within a data centre no member gets more than the mean,
/// rounded up. Pairs of shard and member are taken by descending rendezvous
/// weight; a pair is dropped where the shard has its owner or the member is
/// full (bounded loads after Mirrokni, Thorup and Zadimoghaddam, 2018).
/// Shards of a data centre without a live member are spread over all others
/// in the same way. Empty where nobody is alive.
[[nodiscard]] std::map<shard_id, member>
preferred_owners(const shard_map& map, const std::vector<member>& alive);

} // namespace acaciastile
