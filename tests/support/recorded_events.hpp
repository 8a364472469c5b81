#pragma once

#include "domain/event_sink.hpp"

#include <mutex>
#include <vector>

namespace acaciastile
{

/// Keeps every event for a test to look at.
class recorded_events : public event_sink
{
public:
    void emit(const event& happened) override
    {
        const std::lock_guard lock(guard_);
        kept_.push_back(happened);
    }

    [[nodiscard]] std::size_t count(event_number number) const
    {
        const std::lock_guard lock(guard_);
        std::size_t found = 0;
        for (const event& each : kept_)
        {
            found += each.number == number ? 1 : 0;
        }
        return found;
    }

private:
    mutable std::mutex guard_;
    std::vector<event> kept_;
};

} // namespace acaciastile
