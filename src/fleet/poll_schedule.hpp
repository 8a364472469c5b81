#pragma once

#include "domain/instant.hpp"
#include "fleet/worker_set.hpp"

#include <queue>
#include <utility>
#include <vector>

namespace acaciastile::fleet
{

/// Workers by the time at which it has to be decided whether to poll them.
class poll_schedule
{
public:
    /// Schedules the worker; keeps an earlier time that is already scheduled.
    void add(worker_handle worker, instant due);

    /// Returns the workers whose time has come, and removes them.
    [[nodiscard]] std::vector<worker_handle> take_due(instant now);

private:
    using entry = std::pair<instant, worker_handle>;

    std::priority_queue<entry, std::vector<entry>, std::greater<>> queue_;
    /// Scheduled time by worker; `max` for workers that are not scheduled.
    /// Other entries of the queue are out of date.
    std::vector<instant> due_;
};

} // namespace acaciastile::fleet
