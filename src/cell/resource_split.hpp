#pragma once

#include "domain/resources.hpp"

#include <cstdint>

namespace acaciastile::impl
{

// The functions below work on each kind of resource separately.

/// `left - right`, with each kind at least zero.
[[nodiscard]] resources
excess_over(const resources& left, const resources& right) noexcept;

/// Each kind times the factor, rounded down.
[[nodiscard]] resources scaled(const resources& amount, double factor) noexcept;

/// Each kind times `part / whole` of that kind, rounded down; unchanged where
/// `whole` is not greater than `part`.
[[nodiscard]] resources reduce_in_proportion(
    const resources& amount,
    const resources& part,
    const resources& whole) noexcept;

/// Each kind of `limit` times `part / whole`, rounded down; the limit itself
/// where `whole` is zero.
[[nodiscard]] resources proportional_share(
    const resources& limit,
    const resources& part,
    const resources& whole) noexcept;

/// The largest factor, at most one, by which `amount` can be multiplied to fit
/// in `available`. Kinds that are zero in `amount` are ignored.
[[nodiscard]] double
fitting_factor(const resources& amount, const resources& available) noexcept;

/// How many tasks of this size fit in `available`. Kinds that are zero in
/// `task` are ignored; the result is zero if all of them are.
[[nodiscard]] std::int64_t
tasks_that_fit(const resources& task, const resources& available) noexcept;

/// The number of tasks of this size whose sum is nearest to `amount`.
[[nodiscard]] std::int64_t
nearest_task_count(const resources& task, const resources& amount) noexcept;

/// Each kind divided by `divisor`, rounded down.
[[nodiscard]] resources
divided(const resources& amount, std::int64_t divisor) noexcept;

/// `amount` with every kind set to zero that is not positive in `mask`.
[[nodiscard]] resources
masked(const resources& amount, const resources& mask) noexcept;

/// True if any kind in `left` is greater than in `right`.
[[nodiscard]] inline bool
any_above(const resources& left, const resources& right) noexcept
{
    return !left.fits_in(right);
}

} // namespace acaciastile::impl
