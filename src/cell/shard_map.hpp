#pragma once

#include "cell/membership.hpp"
#include "domain/inventory.hpp"

#include <cstddef>
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
/// size within the bound, so that the set of shards seldom changes.
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
    std::vector<shard_info> shards_;
};

/// The member that should own a shard: rendezvous hashing, members of the
/// shard's own data centre before all others. Null where there is none.
[[nodiscard]] const member*
preferred_owner(const shard_info& shard, const std::vector<member>& alive);

} // namespace acaciastile
