#include "policy/size_class.hpp"

namespace acaciastile::impl
{

namespace
{

constexpr std::size_t words_of_plane = 4;

/// Spreads each set bit to all lower processor levels of its row.
std::uint64_t down_rows(std::uint64_t word) noexcept
{
    word |= (word >> 1) & 0x7fff7fff7fff7fffULL;
    word |= (word >> 2) & 0x3fff3fff3fff3fffULL;
    word |= (word >> 4) & 0x0fff0fff0fff0fffULL;
    word |= (word >> 8) & 0x00ff00ff00ff00ffULL;
    return word;
}

/// Spreads each row of a word to the lower memory levels of that word.
std::uint64_t down_memory(std::uint64_t word) noexcept
{
    word |= word >> 16;
    word |= word >> 32;
    return word;
}

/// The lowest row of a word in all four of its rows.
std::uint64_t lowest_row(std::uint64_t word) noexcept
{
    return (word & 0xffffULL) * 0x0001000100010001ULL;
}

} // namespace

class_set class_set::covered() const noexcept
{
    class_set made;
    for (std::size_t end = words_.size(); end > 0; end -= words_of_plane)
    {
        std::size_t plane = end - words_of_plane;
        std::uint64_t above = 0;
        for (std::size_t at = end; at-- > plane;)
        {
            std::uint64_t word = down_memory(down_rows(words_[at])) | above;
            above = lowest_row(word);
            made.words_[at] = word;
            if (end < words_.size())
            {
                made.words_[at] |= made.words_[at + words_of_plane];
            }
        }
    }
    return made;
}

} // namespace acaciastile::impl
