#include "cell/rendezvous.hpp"

#include <xxhash.h>

namespace acaciastile::impl
{

std::uint64_t hash_name(std::string_view name, std::uint64_t seed) noexcept
{
    return XXH64(name.data(), name.size(), seed);
}

} // namespace acaciastile::impl
