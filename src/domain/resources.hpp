#pragma once

#include <algorithm>
#include <cstdint>

namespace acaciastile
{

/// Resources that workers provide and tasks require.
struct resources
{
    std::int64_t milli_processors = 0; ///< Thousandths of one processor core.
    std::int64_t memory_mib = 0;       ///< Mebibytes.
    std::int64_t accelerators = 0;     ///< Whole devices.

    [[nodiscard]] bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) noexcept
    {
        milli_processors += other.milli_processors;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other) noexcept
    {
        milli_processors -= other.milli_processors;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }

    [[nodiscard]] friend resources
    operator+(resources left, const resources& right) noexcept
    {
        return left += right;
    }

    [[nodiscard]] friend resources
    operator-(resources left, const resources& right) noexcept
    {
        return left -= right;
    }

    [[nodiscard]] friend resources
    operator*(resources left, std::int64_t factor) noexcept
    {
        left.milli_processors *= factor;
        left.memory_mib *= factor;
        left.accelerators *= factor;
        return left;
    }

    /// True if no component exceeds that of `other`.
    [[nodiscard]] bool fits_in(const resources& other) const noexcept
    {
        return milli_processors <= other.milli_processors &&
               memory_mib <= other.memory_mib &&
               accelerators <= other.accelerators;
    }

    [[nodiscard]] bool is_zero() const noexcept { return *this == resources{}; }

    [[nodiscard]] bool has_negative() const noexcept
    {
        return milli_processors < 0 || memory_mib < 0 || accelerators < 0;
    }
};

[[nodiscard]] inline resources
min(const resources& left, const resources& right) noexcept
{
    return {
        std::min(left.milli_processors, right.milli_processors),
        std::min(left.memory_mib, right.memory_mib),
        std::min(left.accelerators, right.accelerators)};
}

[[nodiscard]] inline resources
max(const resources& left, const resources& right) noexcept
{
    return {
        std::max(left.milli_processors, right.milli_processors),
        std::max(left.memory_mib, right.memory_mib),
        std::max(left.accelerators, right.accelerators)};
}

} // namespace acaciastile
