#pragma once

#include <string>
#include <string_view>

namespace acaciastile
{

/// Encodes bytes in hexadecimal, two lower-case digits for each byte.
[[nodiscard]] inline std::string to_hex(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes)
    {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(digits[value >> 4]);
        text.push_back(digits[value & 0xf]);
    }
    return text;
}

} // namespace acaciastile
