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

/// Added before rounding down, against errors of the representation.
constexpr double rounding = 1e-6;

/// Applies a function to each kind of three amounts.
template<class Function>
resources each_kind(
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

kind part_of(kind amount, kind part, kind whole) noexcept
{
    const double share = static_cast<double>(part) / static_cast<double>(whole);
    return static_cast<kind>(
        std::floor(static_cast<double>(amount) * share + rounding));
}

double fitting(kind amount, kind room) noexcept
{
    if (amount <= 0 || room >= amount)
    {
        return 1.0;
    }
    return static_cast<double>(std::max<kind>(room, 0)) /
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
        return static_cast<kind>(
            std::floor(static_cast<double>(value) * factor + rounding));
    };
    return each_kind(times, amount, {}, {});
}

resources cut_to_part(
    const resources& amount,
    const resources& part,
    const resources& whole) noexcept
{
    auto cut = [](kind value, kind some, kind all)
    { return all <= some ? value : part_of(value, some, all); };
    return each_kind(cut, amount, part, whole);
}

resources fair_part(
    const resources& limit,
    const resources& part,
    const resources& whole) noexcept
{
    auto split = [](kind value, kind some, kind all)
    { return all <= 0 ? value : part_of(value, some, all); };
    return each_kind(split, limit, part, whole);
}

double fitting_factor(const resources& amount, const resources& room) noexcept
{
    return std::min(
        {fitting(amount.milli_processors, room.milli_processors),
         fitting(amount.memory_mib, room.memory_mib),
         fitting(amount.accelerators, room.accelerators)});
}

std::int64_t times_within(const resources& task, const resources& room) noexcept
{
    constexpr kind unlimited = std::numeric_limits<kind>::max();
    auto times = [](kind one, kind all)
    { return one > 0 ? std::max<kind>(all, 0) / one : unlimited; };
    const kind fits = std::min(
        {times(task.milli_processors, room.milli_processors),
         times(task.memory_mib, room.memory_mib),
         times(task.accelerators, room.accelerators)});
    return fits == unlimited ? 0 : fits;
}

std::int64_t
nearest_tasks(const resources& task, const resources& amount) noexcept
{
    return times_within(task, amount + divided(task, 2));
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
    return each_kind(keep, amount, mask, {});
}

} // namespace acaciastile::impl
