#pragma once

#include <cstdint>
#include <limits>

namespace acaciastile::impl
{

/// Dense indexes that stand for names inside the scheduler.
using worker_slot = std::uint32_t;
using team_slot = std::uint32_t;
using job_slot = std::uint32_t;

inline constexpr std::uint32_t no_slot =
    std::numeric_limits<std::uint32_t>::max();

} // namespace acaciastile::impl
