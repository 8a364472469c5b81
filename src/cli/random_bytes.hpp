#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile
{

/// Unpredictable bytes of the system, for keys and names. Ends the program
/// where the system has none.
[[nodiscard]] std::vector<std::uint8_t> draw_random_bytes(std::size_t count);

/// The same as hexadecimal digits.
[[nodiscard]] std::string draw_random_hex(std::size_t bytes);

} // namespace acaciastile
