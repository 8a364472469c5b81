#pragma once

#include "domain/instant.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>

namespace acaciastile::net
{

/// Runs functions at given instants on the loop's thread. All timers of a
/// process share one timer of the operating system, which is set only for the
/// earliest of them.
class timer_service
{
public:
    using ticket = std::uint64_t;

    explicit timer_service(boost::asio::io_context& loop);

    /// Runs `work` once, no earlier than `delay` from now.
    ticket after(milliseconds delay, std::function<void()> work);

    /// Drops a timer that has not fired; does nothing for others.
    void cancel(ticket which);

    [[nodiscard]] instant now() const;

private:
    using key = std::pair<instant, ticket>;

    void arm();
    void fire();

    boost::asio::steady_timer timer_;
    std::map<key, std::function<void()>> pending_;
    std::map<ticket, instant> due_;
    instant armed_ = instant::max();
    ticket last_ = 0;
};

} // namespace acaciastile::net
