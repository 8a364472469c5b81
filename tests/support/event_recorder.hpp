#pragma once

#include "domain/event_sink.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace acaciastile
{

/// Keeps all events for a test to look at.
class event_recorder : public event_sink
{
public:
    void emit(const event& happened) override { events.push_back(happened); }

    [[nodiscard]] std::size_t count(event_number number) const
    {
        return static_cast<std::size_t>(std::count_if(
            events.begin(),
            events.end(),
            [number](const event& one) { return one.number == number; }));
    }

    std::vector<event> events;
};

} // namespace acaciastile
