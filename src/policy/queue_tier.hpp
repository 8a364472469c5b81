#pragma once

#include "domain/work_class.hpp"

#include <cstddef>

namespace acaciastile::impl
{

/// Groups of work in scheduling order: all tasks of one tier are tried before
/// any task of the next.
enum class queue_tier : std::size_t
{
    urgent,
    status,
    shared ///< Services, batch work and gangs, ordered by team share.
};

inline constexpr std::size_t queue_tiers = 3;

[[nodiscard]] constexpr queue_tier tier_of(work_class policy) noexcept
{
    switch (policy)
    {
    case work_class::urgent:
        return queue_tier::urgent;
    case work_class::status:
        return queue_tier::status;
    default:
        return queue_tier::shared;
    }
}

} // namespace acaciastile::impl
