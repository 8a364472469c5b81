#pragma once

#include "domain/instant.hpp"
#include "fleet/ports.hpp"

#include <functional>
#include <memory>

namespace acaciastile::edge
{

/// Measures how late the event loop runs its timers, which tells whether the
/// process gets enough processor time for its work.
class lag_monitor : public std::enable_shared_from_this<lag_monitor>
{
public:
    /// `report` is called at regular intervals with the speed of the process: 1
    /// if timers run on time, less the later they run. `stalled` is called with
    /// the length of a single delay that is too long for a lack of processor
    /// time.
    [[nodiscard]] static std::shared_ptr<lag_monitor> create(
        fleet::scheduler_clock& clock,
        std::function<void(double)> report,
        std::function<void(milliseconds)> stalled);

    void start();

private:
    lag_monitor(
        fleet::scheduler_clock& clock,
        std::function<void(double)> report,
        std::function<void(milliseconds)> stalled);

    void on_timer(instant due);

    fleet::scheduler_clock& clock_;
    std::function<void(double)> report_;
    std::function<void(milliseconds)> stalled_;
    double mean_lag_ms_ = 0; ///< Moving average.
};

} // namespace acaciastile::edge
