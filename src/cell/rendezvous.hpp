#pragma once

#include <cstdint>
#include <string_view>

namespace acaciastile::impl
{

/// XXH64 hash of a name.
[[nodiscard]] std::uint64_t
hash_name(std::string_view name, std::uint64_t seed) noexcept;

/// Rendezvous hashing: the weight of a name for a shard, whose id is given by
/// its hash. The name with the highest weight is chosen.
[[nodiscard]] inline std::uint64_t
pair_weight(std::uint64_t shard_seed, std::string_view name) noexcept
{
    return hash_name(name, shard_seed);
}

} // namespace acaciastile::impl
