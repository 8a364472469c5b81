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
    endpoint parsed{std::string(text.substr(0, colon)), 0};
    const char* end = text.data() + text.size();
    const auto conversion =
        std::from_chars(text.data() + colon + 1, end, parsed.port);
    if (conversion.ec != std::errc() || conversion.ptr != end)
    {
        return std::nullopt;
    }
    return parsed;
}

} // namespace acaciastile::net
