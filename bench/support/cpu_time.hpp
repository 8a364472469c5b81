#pragma once

#include <chrono>
#include <ctime>

namespace acaciastile::bench
{

/// Processor time that this process has used so far.
[[nodiscard]] inline std::chrono::nanoseconds cpu_time()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds{used.tv_sec} +
           std::chrono::nanoseconds{used.tv_nsec};
}

} // namespace acaciastile::bench
