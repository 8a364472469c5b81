#include "support/raw_client.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace acaciastile::test
{

namespace
{

bool is_ready(int socket, short events, milliseconds patience)
{
    pollfd waited{socket, events, 0};
    return ::poll(&waited, 1, static_cast<int>(patience.count())) == 1;
}

} // namespace

raw_client::raw_client(std::uint16_t port)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // A failure shows when the connection is used.
    static_cast<void>(::connect(
        socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address));
}

raw_client::~raw_client()
{
    if (socket_ >= 0)
    {
        ::close(socket_);
    }
}

raw_client::raw_client(raw_client&& other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{
}

bool raw_client::send_all(std::string_view bytes, milliseconds patience)
{
    while (!bytes.empty())
    {
        if (!is_ready(socket_, POLLOUT, patience))
        {
            return false;
        }
        const ssize_t sent = ::send(
            socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string raw_client::receive_line(milliseconds patience)
{
    std::string line;
    for (char next = 0; is_ready(socket_, POLLIN, patience) &&
                        ::recv(socket_, &next, 1, 0) == 1 && next != '\n';)
    {
        if (next != '\r')
        {
            line.push_back(next);
        }
    }
    return line;
}

std::string raw_client::receive(std::size_t bytes, milliseconds patience)
{
    std::string all;
    for (char next = 0; all.size() < bytes &&
                        is_ready(socket_, POLLIN, patience) &&
                        ::recv(socket_, &next, 1, 0) == 1;)
    {
        all.push_back(next);
    }
    return all;
}

} // namespace acaciastile::test
