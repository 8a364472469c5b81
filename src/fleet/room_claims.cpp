#include "fleet/room_claims.hpp"

namespace acaciastile::fleet
{

void room_claims::add(
    const std::vector<worker_handle>& workers,
    const resources& needs,
    std::uint32_t tasks)
{
    if (workers.empty())
    {
        return;
    }
    const auto count = static_cast<std::int64_t>(workers.size());
    resources each = needs * static_cast<std::int64_t>(tasks);
    each.milli_processors /= count;
    each.memory_mib /= count;
    each.accelerators /= count;
    for (const worker_handle worker : workers)
    {
        claimed_[worker] += each;
    }
}

} // namespace acaciastile::fleet
