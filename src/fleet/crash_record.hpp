#pragma once

#include "fleet/job.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// How likely it is that a run has crashed its worker. A task that crashes its
/// workers does so soon after its start.
enum class crash_blame : std::uint8_t
{
    beside, ///< Another run had only just started there.
    late,   ///< No run had only just started there.
    shared, ///< One of several runs that had only just started there.
    sole    ///< No other run can have done it as soon after its start.
};

/// A crash under a run that has gone on for longer is not counted: sooner or
/// later every worker crashes under a lasting task.
inline constexpr milliseconds longest_counted_run{30'000};

/// Name of a blame, for logs and metrics.
[[nodiscard]] std::string_view name_of(crash_blame blame) noexcept;

/// A run on a worker that may have crashed, and what a crash would say of it.
struct blamed_run
{
    run_ref run;
    crash_blame blame = crash_blame::beside;

    [[nodiscard]] bool operator==(const blamed_run&) const = default;
};

/// The crashes of workers under the runs of one task. Does no I/O.
class crash_record
{
public:
    struct crash
    {
        run_number run = 0;
        crash_blame blame = crash_blame::beside;

        [[nodiscard]] bool operator==(const crash&) const = default;
    };

    /// Adds a crash under a run. Returns false if the run is counted already.
    bool add(run_number run, crash_blame blame);

    /// Marks the task as a suspect before a crash under it is proven.
    void suspect() noexcept { suspected_ = true; }

    /// True if the task is started only where no other run can be blamed for a
    /// crash that follows its start.
    [[nodiscard]] bool is_suspect() const noexcept;
    /// True if no other run may start on its worker until it has ended: crashes
    /// under it keep coming, and not soon after its starts.
    [[nodiscard]] bool needs_long_trial() const noexcept;
    /// True if the task is not started any more. It takes two crashes, one of
    /// them with no other run to blame: a rack that crashes twice makes
    /// suspects of all that runs there.
    [[nodiscard]] bool is_convicted() const noexcept;

    [[nodiscard]] const std::vector<crash>& crashes() const noexcept
    {
        return crashes_;
    }

private:
    [[nodiscard]] std::size_t count(crash_blame least) const noexcept;

    std::vector<crash> crashes_;
    bool suspected_ = false;
};

} // namespace acaciastile::fleet
