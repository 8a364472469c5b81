#pragma once

#include "domain/instant.hpp"

#include <optional>

namespace acaciastile::impl
{

/// Sets `since` to `now` if it is empty. Returns `since`.
inline instant started(std::optional<instant>& since, instant now)
{
    if (!since)
    {
        since = now;
    }
    return *since;
}

} // namespace acaciastile::impl
