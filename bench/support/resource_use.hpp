#pragma once

#include "support/cpu_time.hpp"

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <functional>

namespace acaciastile::bench
{

/// Bytes that the allocator has handed out at the moment.
[[nodiscard]] inline double heap_in_use()
{
    const struct mallinfo2 now = mallinfo2();
    return static_cast<double>(now.uordblks + now.hblkhd);
}

/// Processor seconds of one call: the least of several tries.
[[nodiscard]] inline double
cpu_seconds(const std::function<void()>& work, int tries = 3)
{
    double least = 1e9;
    for (int n = 0; n < tries; ++n)
    {
        const auto before = cpu_time();
        work();
        const std::chrono::duration<double> used = cpu_time() - before;
        least = std::min(least, used.count());
    }
    return least;
}

} // namespace acaciastile::bench
