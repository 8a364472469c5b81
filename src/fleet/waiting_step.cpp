#include "fleet/waiting_step.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// How often `each` fits into the available amount; no limit if `each` is zero.
std::int64_t
times_that_fit(std::int64_t available, std::int64_t each, std::int64_t limit)
{
    return each <= 0        ? limit
           : available <= 0 ? 0
                            : std::min(limit, available / each);
}

} // namespace

std::int64_t members_that_fit(
    const resources& available, const step_spec& spec, const resources& each)
{
    std::int64_t members =
        spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
    members = times_that_fit(
        available.milli_processors, each.milli_processors, members);
    members = times_that_fit(available.memory_mib, each.memory_mib, members);
    return times_that_fit(available.accelerators, each.accelerators, members);
}

} // namespace acaciastile::fleet
