#include "edge/lag_monitor.hpp"

#include <algorithm>

namespace acaciastile::edge
{

namespace
{

constexpr milliseconds interval{50};
/// Weight of the newest lag in the moving average.
constexpr double smoothing_factor = 0.15;
/// A single lag counts as no longer than this: a pause of the whole VM is not a
/// lack of processor time.
constexpr double max_lag_ms = 1'000;
/// Timers that are late by this much on average are still on time: a scheduling
/// round of a large fleet takes about as long.
constexpr double tolerated_lag_ms = 80;
/// A single lag of this length is reported as a stall.
constexpr milliseconds stall_threshold{500};

} // namespace

std::shared_ptr<lag_monitor> lag_monitor::create(
    fleet::scheduler_clock& clock,
    std::function<void(double)> report,
    std::function<void(milliseconds)> stalled)
{
    return std::shared_ptr<lag_monitor>(
        new lag_monitor(clock, std::move(report), std::move(stalled)));
}

lag_monitor::lag_monitor(
    fleet::scheduler_clock& clock,
    std::function<void(double)> report,
    std::function<void(milliseconds)> stalled)
    : clock_(clock), report_(std::move(report)), stalled_(std::move(stalled))
{
}

void lag_monitor::start()
{
    const instant due = clock_.now() + interval;
    clock_.after(
        interval,
        [weak = weak_from_this(), due]
        {
            if (const auto self = weak.lock())
            {
                self->on_timer(due);
            }
        });
}

void lag_monitor::on_timer(instant due)
{
    const milliseconds late = clock_.now() - due;
    if (late >= stall_threshold)
    {
        stalled_(late);
    }
    const double lag = std::min(max_lag_ms, static_cast<double>(late.count()));
    mean_lag_ms_ += smoothing_factor * (lag - mean_lag_ms_);
    report_(std::min(1.0, tolerated_lag_ms / std::max(mean_lag_ms_, 1.0)));
    start();
}

} // namespace acaciastile::edge
