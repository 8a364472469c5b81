#include "entry/socket_address.hpp"

#include <absl/strings/match.h>
#include <arpa/inet.h>
#include <charconv>

namespace acaciastile
{

result<socket_address> socket_address::parse(const std::string& text)
{
    auto wrong = [&]
    {
        return refuse(
            refusal_code::invalid_value,
            "'" + text + "' is no address of the form a.b.c.d:port");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return wrong();
    }
    socket_address made;
    made.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, made.port);
    in_addr number{};
    if (read.ec != std::errc() || read.ptr != end ||
        inet_pton(AF_INET, made.host.c_str(), &number) != 1)
    {
        return wrong();
    }
    return made;
}

bool socket_address::is_loopback() const
{
    return absl::StartsWith(host, "127.");
}

std::string socket_address::str() const
{
    return host + ":" + std::to_string(port);
}

sockaddr_in socket_address::native() const
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &made.sin_addr);
    return made;
}

} // namespace acaciastile
