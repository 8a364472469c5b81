#include "cli/unit_values.hpp"

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace acaciastile
{

namespace
{

using unit = std::pair<std::string_view, std::int64_t>;

/// Largest first.
constexpr std::array<unit, 5> duration_units{{
    {"d", 86'400'000},
    {"h", 3'600'000},
    {"min", 60'000},
    {"s", 1'000},
    {"ms", 1},
}};
constexpr std::array<unit, 4> size_units{{
    {"GiB", 1 << 30},
    {"MiB", 1 << 20},
    {"KiB", 1 << 10},
    {"B", 1},
}};

template<class Units>
std::optional<std::int64_t> parse(std::string_view text, const Units& units)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc() || number < 0)
    {
        return std::nullopt;
    }
    const std::string_view name(read.ptr, end - read.ptr);
    for (const auto& [known, factor] : units)
    {
        if (name != known)
        {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / factor)
        {
            return std::nullopt;
        }
        return number * factor;
    }
    return std::nullopt;
}

template<class Units>
std::string write(std::int64_t value, const Units& units)
{
    for (const auto& [name, factor] : units)
    {
        if (value != 0 && value % factor == 0)
        {
            return std::to_string(value / factor) + std::string(name);
        }
    }
    return std::to_string(value) + std::string(units.back().first);
}

} // namespace

std::optional<milliseconds> parse_duration(std::string_view text)
{
    auto parsed = parse(text, duration_units);
    if (!parsed)
    {
        return std::nullopt;
    }
    return milliseconds(*parsed);
}

std::string write_duration(milliseconds value)
{
    return write(value.count(), duration_units);
}

std::optional<std::int64_t> parse_size(std::string_view text)
{
    return parse(text, size_units);
}

std::string write_size(std::int64_t bytes)
{
    return write(bytes, size_units);
}

} // namespace acaciastile
