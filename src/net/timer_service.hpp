#pragma once

#include "domain/instant.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>

namespace acaciastile::net
{

/// Runs functions after a delay on the event loop's thread. All timers share
/// one system timer, which is always set to the earliest of them.
class timer_service
{
public:
    using timer_id = std::uint64_t;

    explicit timer_service(boost::asio::io_context& loop);

    /// Runs `work` once, no earlier than `delay` from now. The result can be
    /// passed to `cancel`.
    timer_id after(milliseconds delay, std::function<void()> work);

    /// Cancels a timer. Does nothing if it has fired already.
    void cancel(timer_id which);

    /// The time on the steady clock, in whole milliseconds.
    [[nodiscard]] instant now() const;

private:
    using key = std::pair<instant, timer_id>;

    void set_system_timer();
    void run_due_timers();

    boost::asio::steady_timer timer_;
    std::map<key, std::function<void()>> pending_;
    absl::flat_hash_map<timer_id, instant> due_times_;
    instant system_timer_due_ = instant::max();
    timer_id last_id_ = 0;
};

} // namespace acaciastile::net
