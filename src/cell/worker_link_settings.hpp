#pragma once

#include "cell/circuit_breaker.hpp"
#include "domain/instant.hpp"

namespace acaciastile
{

/// How an owner keeps in touch with one worker.
struct worker_link_settings
{
    milliseconds lease{30'000};       ///< Granted from each message on.
    milliseconds beat{10'000};        ///< Between messages without cause.
    milliseconds call_timeout{2'000}; ///< Then the answer counts as lost.
    milliseconds lapse_margin{500};   ///< Added before a lapse is believed.
    /// Bound on the relative speed of two clocks, in parts per thousand.
    std::int64_t drift_per_mille = 10;
    circuit_breaker_settings breaker;
};

} // namespace acaciastile
