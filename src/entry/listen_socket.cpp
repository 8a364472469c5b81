#include "entry/listen_socket.hpp"

#include <cerrno>
#include <fcntl.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr int backlog = 512;

} // namespace

result<listen_socket> listen_socket::create(const socket_address& address)
{
    listen_socket made(
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int on = 1;
    const sockaddr_in native = address.native();
    if (made.descriptor_ < 0 ||
        ::setsockopt(
            made.descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        ::bind(
            made.descriptor_,
            reinterpret_cast<const sockaddr*>(&native),
            sizeof native) != 0 ||
        ::listen(made.descriptor_, backlog) != 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "cannot listen on " + address.str() + ": " +
                std::generic_category().message(errno));
    }
    return made;
}

listen_socket::~listen_socket()
{
    close();
}

listen_socket::listen_socket(listen_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

listen_socket& listen_socket::operator=(listen_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

result<int> listen_socket::duplicate() const
{
    const int made = ::fcntl(descriptor_, F_DUPFD_CLOEXEC, 0);
    if (made < 0)
    {
        return refuse(
            refusal_code::internal, "cannot duplicate the listening socket");
    }
    return made;
}

std::uint16_t listen_socket::port() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void listen_socket::close() noexcept
{
    if (descriptor_ >= 0)
    {
        ::close(std::exchange(descriptor_, -1));
    }
}

} // namespace acaciastile
