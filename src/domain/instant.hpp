#pragma once

#include <chrono>
#include <cstdint>

namespace acaciastile
{

using std::chrono::milliseconds;

/// The monotonic clock of one process. Never compared between processes.
struct process_clock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<process_clock, duration>;
    static constexpr bool is_steady = true;
};

/// The monotonic clock of one worker. Only that worker compares it with now.
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

/// Age of what never was; a duration that documents can hold.
inline constexpr milliseconds never_age{std::chrono::years{10}};

/// How long ago `since` was; `never_age` where it is `instant::min()`, which
/// stands for never. A plain difference would overflow there.
[[nodiscard]] constexpr milliseconds age_of(instant since, instant now) noexcept
{
    return since == instant::min() ? never_age : now - since;
}

/// Source of the present instant; the control code takes it as an argument
/// and only the outermost loop reads it.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual instant now() const noexcept = 0;
};

} // namespace acaciastile
