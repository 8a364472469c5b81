#pragma once

#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_network.hpp"
#include "platform/embedded/timer_queue.hpp"

#include <functional>
#include <string>

namespace acaciastile
{

/// A stand-in log under a manual clock, and a loop that ticks what uses it.
struct log_fixture
{
    static constexpr milliseconds step{10};

    explicit log_fixture(embedded_log_settings settings = {})
        : network(timers, {milliseconds{1}, milliseconds{3}}),
          log(network, settings)
    {
    }

    /// Lets that time pass, with a call of `tick` at each step.
    void
    run_for(milliseconds span, const std::function<void(instant)>& tick = {})
    {
        const instant end = timers.now() + span;
        while (timers.now() < end)
        {
            timers.run_until(timers.now() + step);
            if (tick)
            {
                tick(timers.now());
            }
        }
    }

    /// Appends at once, as an operator's tool would.
    void append(const stream_name& stream, std::vector<std::string> bodies)
    {
        log.append(stream, std::move(bodies), [](const auto&) {});
        run_for(step);
    }

    timer_queue timers;
    embedded_network network;
    embedded_log log;
};

} // namespace acaciastile
