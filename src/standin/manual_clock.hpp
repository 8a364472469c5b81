#pragma once

#include "fleet/ports.hpp"

#include <functional>
#include <map>

namespace acaciastile::standin
{

/// A clock for tests that moves only when `advance` is called, and runs the
/// timers that become due.
class manual_clock final : public fleet::scheduler_clock
{
public:
    [[nodiscard]] instant now() const override { return now_; }
    [[nodiscard]] instant now_with_suspends() const override
    {
        return now_ + suspended_;
    }
    [[nodiscard]] fleet::wall_time wall() const override
    {
        return fleet::wall_time(wall_offset_ + now_.time_since_epoch());
    }
    void after(milliseconds delay, std::function<void()> work) override
    {
        pending_.emplace(
            now_ + std::max(delay, milliseconds::zero()), std::move(work));
    }

    /// Advances the clock by `span`. Runs all timers that are due until then,
    /// in order of time.
    void advance(milliseconds span)
    {
        const instant until = now_ + span;
        while (!pending_.empty() && pending_.begin()->first <= until)
        {
            auto node = pending_.extract(pending_.begin());
            now_ = std::max(now_, node.key());
            node.mapped()();
        }
        now_ = until;
    }

    /// Simulates a suspend of the VM: only `now_with_suspends` advances.
    void suspend(milliseconds span) { suspended_ += span; }
    /// Changes the wall clock without changing the steady clock.
    void step_wall(milliseconds by) { wall_offset_ += by; }

private:
    instant now_{milliseconds{1'000'000}};
    milliseconds suspended_{0};
    milliseconds wall_offset_{1'700'000'000'000};
    std::multimap<instant, std::function<void()>> pending_;
};

} // namespace acaciastile::standin
