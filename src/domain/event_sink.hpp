#pragma once

#include "domain/event_number.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciastile
{

/// One log event with its fields, which are written in the given order.
struct event
{
    event_number number;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/// Receives log events. Called from the control thread and, outside src/cell,
/// from the threads that serve requests too.
class event_sink
{
public:
    virtual ~event_sink() = default;
    virtual void emit(const event& entry) = 0;
};

} // namespace acaciastile
