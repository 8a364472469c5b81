#pragma once

#include "domain/instant.hpp"

#include <cstdint>
#include <random>

namespace acaciastile
{

struct backoff_settings
{
    milliseconds base{100};
    milliseconds cap{10'000};
};

/// Exponential backoff with full jitter: the n-th delay is uniform between
/// zero and min(cap, base * 2^n).
class backoff
{
public:
    [[nodiscard]] static backoff
    create(backoff_settings settings, std::uint64_t seed);

    /// Returns the next delay and counts one failure.
    [[nodiscard]] milliseconds next_delay();
    void reset() noexcept { failures_ = 0; }
    [[nodiscard]] std::uint32_t failures() const noexcept { return failures_; }

private:
    backoff_settings settings_;
    std::mt19937_64 random_;
    std::uint32_t failures_ = 0;
};

} // namespace acaciastile
