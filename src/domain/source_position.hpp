#pragma once

#include <cstdint>
#include <string>

namespace acaciastile
{

/// Where in a settings file or a request body an error was found.
/// Line and column count from one; zero means that they are not known.
struct source_position
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    [[nodiscard]] bool operator==(const source_position&) const = default;
};

} // namespace acaciastile
