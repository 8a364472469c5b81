#include "net/http_types.hpp"

#include <charconv>

namespace acaciastile::net
{

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint made{std::string(text.substr(0, colon)), 0};
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, made.port);
    if (read.ec != std::errc() || read.ptr != end)
    {
        return std::nullopt;
    }
    return made;
}

} // namespace acaciastile::net
