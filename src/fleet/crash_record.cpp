#include "fleet/crash_record.hpp"

#include <algorithm>
#include <array>

namespace acaciastile::fleet
{

namespace
{

/// Crashes soon after its start, one of them `sole`, that convict a task.
constexpr std::size_t prompt_crashes_to_convict = 2;
/// Crashes of any kind after which the task is tried until its run ends.
constexpr std::size_t crashes_to_long_trial = 3;
/// Crashes of any kind that convict a task. A task may be started twice more
/// after its third crash.
constexpr std::size_t crashes_to_convict = 5;

} // namespace

std::string_view name_of(crash_blame blame) noexcept
{
    constexpr std::array<std::string_view, 4> names{
        "beside", "late", "shared", "sole"};
    return names[static_cast<std::size_t>(blame)];
}

bool crash_record::add(run_number run, crash_blame blame)
{
    const bool known = std::any_of(
        crashes_.begin(),
        crashes_.end(),
        [&](const crash& each) { return each.run == run; });
    if (known)
    {
        return false;
    }
    crashes_.push_back({run, blame});
    return true;
}

std::size_t crash_record::count(crash_blame least) const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        crashes_.begin(),
        crashes_.end(),
        [&](const crash& each) { return each.blame >= least; }));
}

bool crash_record::is_suspect() const noexcept
{
    return suspected_ || count(crash_blame::shared) > 0 || needs_long_trial();
}

bool crash_record::needs_long_trial() const noexcept
{
    return crashes_.size() >= crashes_to_long_trial;
}

bool crash_record::is_convicted() const noexcept
{
    const std::size_t prompt = count(crash_blame::shared);
    const bool tried = count(crash_blame::sole) > 0;
    return (tried && (prompt >= prompt_crashes_to_convict ||
                      crashes_.size() > crashes_to_long_trial)) ||
           count(crash_blame::late) >= crashes_to_convict;
}

} // namespace acaciastile::fleet
