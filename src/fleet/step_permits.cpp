#include "fleet/step_permits.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

const step_permits::grant* step_permits::find(worker_handle worker) const
{
    const auto at = std::lower_bound(
        allowed.begin(),
        allowed.end(),
        worker,
        [](const grant& each, worker_handle handle)
        { return each.worker < handle; });
    return at == allowed.end() || at->worker != worker ? nullptr : &*at;
}

bool step_permits::has_usable(instant now) const
{
    return std::any_of(
        allowed.begin(),
        allowed.end(),
        [&](const grant& each) { return each.until > now; });
}

bool step_permits::allow(grant granted)
{
    const auto at = std::lower_bound(
        allowed.begin(),
        allowed.end(),
        granted.worker,
        [](const grant& each, worker_handle handle)
        { return each.worker < handle; });
    if (at != allowed.end() && at->worker == granted.worker)
    {
        *at = std::move(granted);
        return false;
    }
    allowed.insert(at, std::move(granted));
    return true;
}

void step_permits::expire(worker_handle worker)
{
    if (find(worker) != nullptr)
    {
        allow({worker, {}, {}, 0});
    }
}

} // namespace acaciastile::fleet
