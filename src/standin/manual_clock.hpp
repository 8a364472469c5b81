#pragma once

#include "fleet/ports.hpp"

#include <functional>
#include <map>

namespace acaciastile::standin
{

/// A clock that moves only when told to, and runs what falls due on the way.
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

    /// Moves on by `span` and runs all that is due until then.
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

    /// Lets time pass that the steady clock does not count.
    void suspend(milliseconds span) { suspended_ += span; }
    /// Moves the time of day.
    void step_wall(milliseconds by) { wall_offset_ += by; }

private:
    instant now_{milliseconds{1'000'000}};
    milliseconds suspended_{0};
    milliseconds wall_offset_{1'700'000'000'000};
    std::multimap<instant, std::function<void()>> pending_;
};

} // namespace acaciastile::standin
