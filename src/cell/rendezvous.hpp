#pragma once

#include <cstdint>
#include <string_view>

namespace acaciastile::impl
{

/// XXH64 over the bytes of a name.
[[nodiscard]] std::uint64_t
hash_name(std::string_view name, std::uint64_t seed) noexcept;

/// Weight of the pair of a shard, given by the hash of its id, and another
/// name. The highest weight wins.
[[nodiscard]] inline std::uint64_t
pair_weight(std::uint64_t shard_seed, std::string_view name) noexcept
{
    return hash_name(name, shard_seed);
}

} // namespace acaciastile::impl
