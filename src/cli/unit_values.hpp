#pragma once

#include "domain/instant.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Reads a whole number and its unit: ms, s, min, h or d. Empty where it is
/// neither, or does not fit.
[[nodiscard]] std::optional<milliseconds> parse_duration(std::string_view text);

/// Writes a duration in the largest unit that divides it.
[[nodiscard]] std::string write_duration(milliseconds value);

/// Reads a whole number of bytes and its unit: B, KiB, MiB or GiB.
[[nodiscard]] std::optional<std::int64_t> parse_size(std::string_view text);

/// Writes a size in the largest unit that divides it.
[[nodiscard]] std::string write_size(std::int64_t bytes);

} // namespace acaciastile
