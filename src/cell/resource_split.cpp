#include "cell/resource_split.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace acaciastile::impl
{

namespace
{

using kind = std::int64_t;

/// Added before rounding down, so that floating-point errors do not lower an
/// exact result by one.
constexpr double rounding_tolerance = 1e-6;

/// Applies a function to the three amounts of each kind of resource.
template<class Function>
resources for_each_kind(
    Function function,
    const resources& first,
    const resources& second,
    const resources& third)
{
    return {
        function(
            first.milli_processors,
            second.milli_processors,
            third.milli_processors),
        function(first.memory_mib, second.memory_mib, third.memory_mib),
        function(first.accelerators, second.accelerators, third.accelerators)};
}

kind scaled_by_ratio(kind amount, kind part, kind whole) noexcept
{
    const double share = static_cast<double>(part) / static_cast<double>(whole);
    return static_cast<kind>(
        std::floor(static_cast<double>(amount) * share + rounding_tolerance));
}

double fitting_ratio(kind amount, kind available) noexcept
{
    if (amount <= 0 || available >= amount)
    {
        return 1.0;
    }
    return static_cast<double>(std::max<kind>(available, 0)) /
           static_cast<double>(amount);
}

} // namespace

resources excess_over(const resources& left, const resources& right) noexcept
{
    return max(left - right, resources{});
}

resources scaled(const resources& amount, double factor) noexcept
{
    auto times = [factor](kind value, kind, kind)
    {
        return static_cast<kind>(std::floor(
            static_cast<double>(value) * factor + rounding_tolerance));
    };
    return for_each_kind(times, amount, {}, {});
}

resources reduce_in_proportion(
    const resources& amount,
    const resources& part,
    const resources& whole) noexcept
{
    auto cut = [](kind value, kind some, kind all)
    { return all <= some ? value : scaled_by_ratio(value, some, all); };
    return for_each_kind(cut, amount, part, whole);
}

resources proportional_share(
    const resources& limit,
    const resources& part,
    const resources& whole) noexcept
{
    auto split = [](kind value, kind some, kind all)
    { return all <= 0 ? value : scaled_by_ratio(value, some, all); };
    return for_each_kind(split, limit, part, whole);
}

double
fitting_factor(const resources& amount, const resources& available) noexcept
{
    return std::min(
        {fitting_ratio(amount.milli_processors, available.milli_processors),
         fitting_ratio(amount.memory_mib, available.memory_mib),
         fitting_ratio(amount.accelerators, available.accelerators)});
}

std::int64_t
tasks_that_fit(const resources& task, const resources& available) noexcept
{
    constexpr kind unlimited = std::numeric_limits<kind>::max();
    auto times = [](kind one, kind all)
    { return one > 0 ? std::max<kind>(all, 0) / one : unlimited; };
    const kind fits = std::min(
        {times(task.milli_processors, available.milli_processors),
         times(task.memory_mib, available.memory_mib),
         times(task.accelerators, available.accelerators)});
    return fits == unlimited ? 0 : fits;
}

std::int64_t
nearest_task_count(const resources& task, const resources& amount) noexcept
{
    return tasks_that_fit(task, amount + divided(task, 2));
}

resources divided(const resources& amount, std::int64_t divisor) noexcept
{
    return {
        amount.milli_processors / divisor,
        amount.memory_mib / divisor,
        amount.accelerators / divisor};
}

resources masked(const resources& amount, const resources& mask) noexcept
{
    auto keep = [](kind value, kind wanted, kind)
    { return wanted > 0 ? value : kind{0}; };
    return for_each_kind(keep, amount, mask, {});
}

} // namespace acaciastile::impl
