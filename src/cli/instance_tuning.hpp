#pragma once

#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile
{

/// Settings of the control code that operators may want to change.
struct instance_tuning
{
    milliseconds lease{30'000};           ///< Of a running task.
    milliseconds beat{10'000};            ///< Between messages to a worker.
    milliseconds probe_interval{1'000};   ///< Of the membership.
    milliseconds suspicion{3'000};        ///< From suspected to dead.
    milliseconds vm_poll{2'000};          ///< Of the platform's VM list.
    milliseconds key_staleness{5'000};    ///< Then keyed work is refused.
    std::size_t shard_workers = 128;      ///< Mean number in a shard.
    std::size_t appends_per_second = 300; ///< Of the whole cell.
};

} // namespace acaciastile
