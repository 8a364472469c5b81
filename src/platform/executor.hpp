#pragma once

#include <functional>

namespace acaciastile
{

/// Runs work on the control thread. `post` may be called from any thread and
/// returns at once; what is posted runs in order.
class executor
{
public:
    virtual ~executor() = default;
    virtual void post(std::function<void()> work) = 0;
};

} // namespace acaciastile
