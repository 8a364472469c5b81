#pragma once

#include <cstdint>
#include <string>

namespace acaciastile
{

/// Position of an error in a settings file or a request body. Lines and columns
/// start at one; zero means unknown.
struct source_position
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    [[nodiscard]] bool operator==(const source_position&) const = default;
};

} // namespace acaciastile
