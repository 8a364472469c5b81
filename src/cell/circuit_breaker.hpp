#pragma once

#include "cell/backoff.hpp"
#include "domain/instant.hpp"

#include <cstdint>

namespace acaciastile
{

struct circuit_breaker_settings
{
    std::uint32_t failures_to_open = 3; ///< Consecutive failures.
    backoff_settings reopen{milliseconds{500}, milliseconds{10'000}};
};

/// Stops calls to a worker or a peer that keeps failing, and allows one trial
/// call after a delay to test whether it has recovered.
class circuit_breaker
{
public:
    [[nodiscard]] static circuit_breaker
    create(circuit_breaker_settings settings, std::uint64_t seed);

    /// True if a call may be made now. In the half-open state only one caller
    /// gets true until `succeeded` or `failed` is called.
    [[nodiscard]] bool allow(instant now);
    /// Closes the breaker and resets the failure count and the delay.
    void succeeded();
    /// Counts a failure; opens the breaker after `failures_to_open` in a row.
    void failed(instant now);
    [[nodiscard]] bool is_open() const noexcept { return open_; }
    /// When the next call may be made; `instant::min()` if closed.
    [[nodiscard]] instant next_try() const noexcept;

private:
    circuit_breaker_settings settings_;
    backoff delay_;
    std::uint32_t failures_ = 0;
    bool open_ = false;
    bool trying_ = false;
    instant next_try_{};
};

} // namespace acaciastile
