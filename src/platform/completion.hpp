#pragma once

#include "domain/result.hpp"

#include <functional>

namespace acaciastile
{

/// Receives the outcome of an asynchronous call, exactly once, on the thread
/// of control that made the call.
template<class Value>
using completion = std::function<void(result<Value>)>;

} // namespace acaciastile
