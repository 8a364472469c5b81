#include "cell/circuit_breaker.hpp"

#include <algorithm>

namespace acaciastile
{

circuit_breaker
circuit_breaker::create(circuit_breaker_settings settings, std::uint64_t seed)
{
    circuit_breaker made;
    made.settings_ = settings;
    made.settings_.failures_to_open =
        std::max<std::uint32_t>(settings.failures_to_open, 1);
    made.delay_ = backoff::create(settings.reopen, seed);
    made.next_try_ = instant::min();
    return made;
}

bool circuit_breaker::allow(instant now)
{
    if (!open_)
    {
        return true;
    }
    if (trying_ || now < next_try_)
    {
        return false;
    }
    trying_ = true;
    return true;
}

void circuit_breaker::succeeded()
{
    failures_ = 0;
    open_ = false;
    trying_ = false;
    next_try_ = instant::min();
    delay_.reset();
}

void circuit_breaker::failed(instant now)
{
    if (open_ && !trying_)
    {
        // The call began before the breaker opened and must not delay the next
        // try.
        return;
    }
    trying_ = false;
    ++failures_;
    if (failures_ >= settings_.failures_to_open)
    {
        open_ = true;
        next_try_ = now + delay_.next_delay();
    }
}

instant circuit_breaker::next_try() const noexcept
{
    return open_ ? next_try_ : instant::min();
}

} // namespace acaciastile
