#pragma once

#include "domain/instant.hpp"

#include <cstdint>

namespace acaciastile
{

/// A worker's clock as a function of the stand-ins' clock: it starts at an
/// offset, drifts, and may be paused.
class skewed_clock
{
public:
    skewed_clock(instant start, milliseconds offset, std::int64_t drift_ppm)
        : base_(start), reading_(offset), drift_ppm_(drift_ppm)
    {
    }

    [[nodiscard]] worker_instant at(instant now) const noexcept
    {
        return worker_instant{} + reading_ + elapsed(now);
    }

    /// The earliest instant at which the clock may read that; `max` while it
    /// is paused.
    [[nodiscard]] instant when(worker_instant reading) const noexcept
    {
        const milliseconds left = reading.time_since_epoch() - reading_;
        if (left <= milliseconds{0})
        {
            return base_;
        }
        if (paused_)
        {
            return instant::max();
        }
        const std::int64_t rate = parts + drift_ppm_;
        return base_ + milliseconds{(left.count() * parts + rate - 1) / rate};
    }

    /// Changes the drift from now on; parts per million, above -1,000,000.
    void set_drift(instant now, std::int64_t drift_ppm) noexcept
    {
        rebase(now);
        drift_ppm_ = drift_ppm;
    }

    void set_paused(instant now, bool paused) noexcept
    {
        rebase(now);
        paused_ = paused;
    }

    /// Sets the clock forward or back.
    void step(milliseconds by) noexcept { reading_ += by; }

private:
    static constexpr std::int64_t parts = 1'000'000;

    [[nodiscard]] milliseconds elapsed(instant now) const noexcept
    {
        if (paused_)
        {
            return milliseconds{0};
        }
        const std::int64_t true_time = (now - base_).count();
        return milliseconds{true_time * (parts + drift_ppm_) / parts};
    }

    void rebase(instant now) noexcept
    {
        reading_ += elapsed(now);
        base_ = now;
    }

    instant base_;
    milliseconds reading_;
    std::int64_t drift_ppm_;
    bool paused_ = false;
};

} // namespace acaciastile
