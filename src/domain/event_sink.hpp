#pragma once

#include "domain/event_number.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciastile
{

/// One numbered event with named values, in the order given.
struct event
{
    event_number number;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Receives events. Called from the control thread and, in the rooms outside
/// the cell, from traffic threads too.
class event_sink
{
public:
    virtual ~event_sink() = default;
    virtual void emit(const event& happened) = 0;
};

} // namespace acaciastile
