#pragma once

#include "domain/work_class.hpp"

#include <cstddef>

namespace acaciastile::impl
{

/// Every task of a lower tier is tried before any task of a higher one.
enum class queue_tier : std::size_t
{
    urgent,
    status,
    shared ///< Services, batch and gangs, by share between teams.
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
