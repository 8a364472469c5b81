#include "policy/size_class.hpp"

namespace acaciastile::impl
{

namespace
{

constexpr std::size_t words_per_plane = 4;

/// Spreads each set bit to all lower processor levels of its row.
std::uint64_t spread_to_lower_processors(std::uint64_t word) noexcept
{
    word |= (word >> 1) & 0x7fff7fff7fff7fffULL;
    word |= (word >> 2) & 0x3fff3fff3fff3fffULL;
    word |= (word >> 4) & 0x0fff0fff0fff0fffULL;
    word |= (word >> 8) & 0x00ff00ff00ff00ffULL;
    return word;
}

/// Spreads each row of a word to the lower memory levels of that word.
std::uint64_t spread_to_lower_memory(std::uint64_t word) noexcept
{
    word |= word >> 16;
    word |= word >> 32;
    return word;
}

/// Copies the lowest row of a word into all four of its rows.
std::uint64_t broadcast_lowest_row(std::uint64_t word) noexcept
{
    return (word & 0xffffULL) * 0x0001000100010001ULL;
}

} // namespace

class_set class_set::downward_closure() const noexcept
{
    class_set closure;
    for (std::size_t end = words_.size(); end > 0; end -= words_per_plane)
    {
        std::size_t plane = end - words_per_plane;
        std::uint64_t above = 0;
        for (std::size_t at = end; at-- > plane;)
        {
            std::uint64_t word =
                spread_to_lower_memory(spread_to_lower_processors(words_[at])) |
                above;
            above = broadcast_lowest_row(word);
            closure.words_[at] = word;
            if (end < words_.size())
            {
                closure.words_[at] |= closure.words_[at + words_per_plane];
            }
        }
    }
    return closure;
}

} // namespace acaciastile::impl
