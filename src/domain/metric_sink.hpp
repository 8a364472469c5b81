#pragma once

#include <string_view>

namespace acaciastile
{

/// Receives measurements. `label` is a short value such as a work class, a
/// team or a refusal code; empty if the metric has none.
class metric_sink
{
public:
    virtual ~metric_sink() = default;

    /// Adds to a counter.
    virtual void
    count(std::string_view name, std::string_view label, double amount) = 0;

    /// Adds an observation to a distribution.
    virtual void
    sample(std::string_view name, std::string_view label, double value) = 0;

    /// Sets the current value of a gauge.
    virtual void
    gauge(std::string_view name, std::string_view label, double value) = 0;
};

} // namespace acaciastile
