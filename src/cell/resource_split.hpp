#pragma once

#include "domain/resources.hpp"

#include <cstdint>

namespace acaciastile::impl
{

/// Left less right, each kind at least zero.
[[nodiscard]] resources
excess_over(const resources& left, const resources& right) noexcept;

/// Each kind times the factor, rounded down.
[[nodiscard]] resources scaled(const resources& amount, double factor) noexcept;

/// Each kind times its own `part / whole`, rounded down; unchanged where the
/// whole is not above the part.
[[nodiscard]] resources cut_to_part(
    const resources& amount,
    const resources& part,
    const resources& whole) noexcept;

/// Each kind of the limit times `part / whole`; the limit where the whole is
/// zero.
[[nodiscard]] resources fair_part(
    const resources& limit,
    const resources& part,
    const resources& whole) noexcept;

/// The largest factor of at most one for which `amount` times it fits in
/// `room`; kinds that are zero in `amount` do not count.
[[nodiscard]] double
fitting_factor(const resources& amount, const resources& room) noexcept;

/// How many whole times the task fits in the room; kinds that are zero in it
/// do not count. Zero for a task of nothing.
[[nodiscard]] std::int64_t
times_within(const resources& task, const resources& room) noexcept;

/// The number of tasks whose sum is nearest to the amount.
[[nodiscard]] std::int64_t
nearest_tasks(const resources& task, const resources& amount) noexcept;

/// Each kind divided, rounded down.
[[nodiscard]] resources
divided(const resources& amount, std::int64_t divisor) noexcept;

/// Kinds of `amount` where `mask` is above zero, the others zero.
[[nodiscard]] resources
masked(const resources& amount, const resources& mask) noexcept;

/// True where any kind of left is above that of right.
[[nodiscard]] inline bool
any_above(const resources& left, const resources& right) noexcept
{
    return !left.fits_in(right);
}

} // namespace acaciastile::impl
