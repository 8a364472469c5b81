#include "platform/http/listen_socket.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace acaciastile::impl
{

namespace
{

constexpr int backlog = 512;

std::optional<sockaddr_in> parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    const std::string host = text.substr(0, colon);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc{} || read.ptr != end ||
        inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) != 1)
    {
        return std::nullopt;
    }
    parsed.sin_port = htons(port);
    return parsed;
}

tl::unexpected<error> system_error(const char* what)
{
    return refuse(
        refusal_code::internal,
        std::string(what) + ": " + std::strerror(errno));
}

} // namespace

listen_socket::~listen_socket()
{
    if (descriptor_ >= 0)
    {
        close(descriptor_);
    }
}

result<listen_socket> listen_socket::create(const std::string& address)
{
    std::optional<sockaddr_in> wanted = parse_address(address);
    if (!wanted)
    {
        return refuse(
            refusal_code::invalid_value,
            "'" + address + "' is not of the form a.b.c.d:port");
    }
    listen_socket made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int descriptor = made.descriptor_;
    if (descriptor < 0)
    {
        return system_error("socket");
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto* any = reinterpret_cast<sockaddr*>(&*wanted);
    socklen_t length = sizeof *wanted;
    if (bind(descriptor, any, length) != 0 ||
        listen(descriptor, backlog) != 0 ||
        getsockname(descriptor, any, &length) != 0)
    {
        return system_error("cannot listen");
    }
    made.port_ = ntohs(wanted->sin_port);
    made.address_ =
        address.substr(0, address.rfind(':') + 1) + std::to_string(made.port_);
    return made;
}

} // namespace acaciastile::impl
