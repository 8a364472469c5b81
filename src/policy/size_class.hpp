#pragma once

#include "domain/resources.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace acaciastile::impl
{

/// Lower bounds of the levels into which sizes are sorted: thousandths of a
/// core, mebibytes and devices.
inline constexpr std::array<std::int64_t, 16> processor_levels{
    0,
    125,
    250,
    500,
    1000,
    1500,
    2000,
    3000,
    4000,
    6000,
    8000,
    12000,
    16000,
    24000,
    32000,
    64000};
inline constexpr std::array<std::int64_t, 16> memory_levels{
    0,
    128,
    256,
    512,
    1024,
    2048,
    4096,
    6144,
    8192,
    12288,
    16384,
    24576,
    32768,
    49152,
    65536,
    131072};
inline constexpr std::array<std::int64_t, 8> accelerator_levels{
    0, 1, 2, 3, 4, 6, 8, 16};

/// A cell of the grid of levels: every amount in it is at least the cell's
/// lower bounds.
struct size_class
{
    std::uint8_t processors = 0;
    std::uint8_t memory = 0;
    std::uint8_t accelerators = 0;

    [[nodiscard]] bool operator==(const size_class&) const = default;

    [[nodiscard]] constexpr std::uint16_t index() const noexcept
    {
        return static_cast<std::uint16_t>(
            accelerators * 256 + memory * 16 + processors);
    }

    [[nodiscard]] static constexpr size_class
    from_index(std::uint16_t index) noexcept
    {
        return {
            static_cast<std::uint8_t>(index % 16),
            static_cast<std::uint8_t>(index / 16 % 16),
            static_cast<std::uint8_t>(index / 256)};
    }
};

inline constexpr std::size_t size_classes = 2048;

namespace detail
{

template<std::size_t Count>
[[nodiscard]] std::uint8_t
level_of(const std::array<std::int64_t, Count>& levels, std::int64_t amount)
{
    auto above = std::upper_bound(levels.begin() + 1, levels.end(), amount);
    return static_cast<std::uint8_t>(above - levels.begin() - 1);
}

} // namespace detail

[[nodiscard]] inline size_class class_of(const resources& size) noexcept
{
    return {
        detail::level_of(processor_levels, size.milli_processors),
        detail::level_of(memory_levels, size.memory_mib),
        detail::level_of(accelerator_levels, size.accelerators)};
}

/// A set of size classes as bits: 16 processor levels make a row, 16 rows of
/// memory a plane, 8 planes of accelerators the set.
class class_set
{
public:
    void insert(std::uint16_t index) noexcept
    {
        words_[index / 64] |= bit(index);
    }
    void erase(std::uint16_t index) noexcept
    {
        words_[index / 64] &= ~bit(index);
    }
    [[nodiscard]] bool contains(std::uint16_t index) const noexcept
    {
        return (words_[index / 64] & bit(index)) != 0;
    }

    /// The row of processor levels at one level of memory and accelerators.
    [[nodiscard]] std::uint16_t
    row(std::size_t accelerators, std::size_t memory) const noexcept
    {
        std::size_t word = accelerators * 4 + memory / 4;
        return static_cast<std::uint16_t>(words_[word] >> (memory % 4 * 16));
    }

    /// All classes not above some class of this set in any of the three levels.
    [[nodiscard]] class_set downward_closure() const noexcept;

    class_set& operator|=(const class_set& other) noexcept
    {
        for (std::size_t word = 0; word < words_.size(); ++word)
        {
            words_[word] |= other.words_[word];
        }
        return *this;
    }

    /// Removes what the other set holds.
    class_set& operator-=(const class_set& other) noexcept
    {
        for (std::size_t word = 0; word < words_.size(); ++word)
        {
            words_[word] &= ~other.words_[word];
        }
        return *this;
    }

    [[nodiscard]] bool intersects(const class_set& other) const noexcept
    {
        std::uint64_t common = 0;
        for (std::size_t word = 0; word < words_.size(); ++word)
        {
            common |= words_[word] & other.words_[word];
        }
        return common != 0;
    }

    /// Calls `visit(index)` for each class that both sets hold.
    template<class Visit>
    void for_each_common(const class_set& other, Visit visit) const
    {
        for (std::size_t word = 0; word < words_.size(); ++word)
        {
            std::uint64_t left = words_[word] & other.words_[word];
            while (left != 0)
            {
                auto low = static_cast<std::size_t>(std::countr_zero(left));
                visit(static_cast<std::uint16_t>(word * 64 + low));
                left &= left - 1;
            }
        }
    }

private:
    [[nodiscard]] static constexpr std::uint64_t
    bit(std::uint16_t index) noexcept
    {
        return std::uint64_t{1} << (index % 64);
    }

    std::array<std::uint64_t, size_classes / 64> words_{};
};

} // namespace acaciastile::impl
