#pragma once

#include <cstdint>
#include <limits>

namespace acaciastile::impl
{

/// Dense indexes by which the scheduler refers to workers, teams and jobs.
using worker_slot = std::uint32_t;
using team_slot = std::uint32_t;
using job_slot = std::uint32_t;

/// The value that stands for no worker, team or job.
inline constexpr std::uint32_t no_slot =
    std::numeric_limits<std::uint32_t>::max();

} // namespace acaciastile::impl
