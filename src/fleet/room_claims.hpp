#pragma once

#include "fleet/worker_table.hpp"

#include <absl/container/flat_hash_map.h>

namespace acaciastile::fleet
{

/// Room that permit requests count on: of each worker that they name, a part of
/// what their tasks need, as the tasks are spread over all of them.
class room_claims
{
public:
    void
    add(const std::vector<worker_handle>& workers,
        const resources& needs,
        std::uint32_t tasks);

    /// True if the worker has room for `needs` beside what is claimed.
    [[nodiscard]] bool
    has_room(const worker_entry& worker, const resources& needs) const
    {
        const auto at = claimed_.find(worker.handle);
        return at == claimed_.end() ||
               needs.fits_in(worker.free_resources() - at->second);
    }

private:
    absl::flat_hash_map<worker_handle, resources> claimed_;
};

} // namespace acaciastile::fleet
