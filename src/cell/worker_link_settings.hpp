#pragma once

#include "cell/circuit_breaker.hpp"
#include "domain/instant.hpp"

namespace acaciastile
{

/// Lease and heartbeat settings of the link from an owner to one worker.
struct worker_link_settings
{
    milliseconds lease{30'000};       ///< Counted from each message.
    milliseconds beat{10'000};        ///< Interval of heartbeat messages.
    milliseconds call_timeout{2'000}; ///< After it the call has failed.
    milliseconds lapse_margin{500};   ///< Added to each lease's expiry.
    /// Bound on the drift between two clocks, in parts per thousand.
    std::int64_t drift_per_mille = 10;
    circuit_breaker_settings breaker;
};

} // namespace acaciastile
