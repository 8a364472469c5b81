#pragma once

#include "policy/scheduler.hpp"
#include "support/policy_outcome.hpp"
#include "support/policy_workload.hpp"

namespace acaciastile::bench
{

/// Simulates a workload on one scheduler with a tick of 100 ms and measures
/// the outcome. Models no network and no cell: a placed task starts at once.
[[nodiscard]] outcome replay(const workload& work, scheduler& tested);

} // namespace acaciastile::bench
