#pragma once

#include "domain/instant.hpp"

#include <optional>

namespace acaciastile::impl
{

/// Starts a stopwatch that is not running yet, and gives its start.
inline instant started(std::optional<instant>& since, instant now)
{
    if (!since)
    {
        since = now;
    }
    return *since;
}

} // namespace acaciastile::impl
