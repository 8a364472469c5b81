#pragma once

#include <chrono>
#include <cstdint>

namespace acaciastile
{

using std::chrono::milliseconds;

/// Monotonic clock of one process. Its time points must not be compared with
/// those of another process.
struct process_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<process_clock, duration>;
    static constexpr bool is_steady = true;
};

/// Monotonic clock of one worker. Only that worker may compare its time points
/// with the current time.
struct worker_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<worker_clock, duration>;
    static constexpr bool is_steady = true;
};

using instant = process_clock::time_point;
using worker_instant = worker_clock::time_point;

/// Age reported for something that has not happened yet: the longest duration
/// that JSON documents accept.
inline constexpr milliseconds never_age{std::chrono::years{10}};

/// Time elapsed since `since`. `instant::min()` means never and gives
/// `never_age`, because the subtraction would overflow.
[[nodiscard]] constexpr milliseconds age_of(instant since, instant now) noexcept
{
    return since == instant::min() ? never_age : now - since;
}

/// Source of the current time. Only the outermost loop reads it; control code
/// takes the current time as an argument.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual instant now() const noexcept = 0;
};

} // namespace acaciastile
