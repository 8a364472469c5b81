#pragma once

#include "domain/instant.hpp"

#include <atomic>

namespace acaciastile
{

/// What the control thread last told the traffic threads of its state.
class readiness
{
public:
    /// On the control thread, at every tick.
    void tell(instant now, bool ready)
    {
        last_tick_.store(now);
        ready_.store(ready);
    }

    [[nodiscard]] bool ready() const { return ready_.load(); }

    /// True where the control thread has ticked within that time.
    [[nodiscard]] bool alive(instant now, milliseconds within) const
    {
        return now - last_tick_.load() <= within;
    }

private:
    std::atomic<instant> last_tick_{instant{}};
    std::atomic<bool> ready_{false};
};

} // namespace acaciastile
