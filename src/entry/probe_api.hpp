#pragma once

#include "domain/instant.hpp"
#include "entry/api_route.hpp"
#include "entry/readiness.hpp"
#include "observe/metrics.hpp"

#include <vector>

namespace acaciastile
{

/// Health, readiness and metrics; they need no key and hold no secret.
[[nodiscard]] std::vector<api_route> probe_routes(
    const readiness& state, const clock_source& clock, const metrics& measured);

} // namespace acaciastile
