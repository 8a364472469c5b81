#include "cell/snapshot_policy.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

/// Upper bound on the factor by which later instances in the order wait longer.
/// Below 2, as the bounds may be half of the retention.
constexpr double max_wait_factor = 1.8;

} // namespace

bool due(const snapshot_need& need, const snapshot_policy& policy) noexcept
{
    if (!need.at_head || need.applied == 0)
    {
        return false;
    }
    const double wait = std::min(
        max_wait_factor, 1.0 + policy.stagger * static_cast<double>(need.rank));
    const std::uint64_t records =
        need.applied > need.covered ? need.applied - need.covered : 0;
    if (static_cast<double>(records) >=
        wait * static_cast<double>(policy.records))
    {
        return true;
    }
    const milliseconds bound = need.age_known ? policy.age : policy.unknown_age;
    return static_cast<double>(need.age.count()) >=
           wait * static_cast<double>(bound.count());
}

} // namespace acaciastile
