#include "http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

bool send_all(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto count = ::send(
            socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lower(std::string text)
{
    std::transform(
        text.begin(),
        text.end(),
        text.begin(),
        [](unsigned char each) { return std::tolower(each); });
    return text;
}

/// Reads one message. `first` gets its first line. Returns false at the end of
/// the connection or of the time.
bool read_message(
    int socket,
    std::string& buffer,
    std::string& first,
    std::map<std::string, std::string>& headers,
    std::string& body,
    std::chrono::steady_clock::time_point until)
{
    const auto more = [&]
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        pollfd ready{socket, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&ready, 1, static_cast<int>(left.count())) <= 0)
        {
            return false;
        }
        char bytes[65'536];
        const auto count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
    {
        if (!more())
        {
            return false;
        }
    }
    std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    headers.clear();
    while (at != std::string::npos)
    {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(
            at + 2, next == std::string::npos ? next : next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
        {
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            headers[lower(line.substr(0, colon))] = value;
        }
        at = next;
    }
    const auto found = headers.find("content-length");
    const std::size_t length =
        found == headers.end() ? 0 : std::stoul(found->second);
    while (buffer.size() < length)
    {
        if (!more())
        {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

/// Decodes `%XX`.
std::string decode_percents(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] == '%' && at + 2 < text.size() &&
            std::isxdigit(static_cast<unsigned char>(text[at + 1])) &&
            std::isxdigit(static_cast<unsigned char>(text[at + 2])))
        {
            decoded.push_back(static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16)));
            at += 2;
            continue;
        }
        decoded.push_back(text[at]);
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(const std::string& text)
{
    std::map<std::string, std::string> query;
    std::size_t at = 0;
    while (at < text.size())
    {
        const std::size_t end = std::min(text.find('&', at), text.size());
        const std::string part = text.substr(at, end - at);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
        {
            query[decode_percents(part.substr(0, equals))] =
                decode_percents(part.substr(equals + 1));
        }
        at = end + 1;
    }
    return query;
}

} // namespace

/// Shared with the threads of the connections, which may outlive the server.
struct http_server::state
{
    std::mutex mutex;
    std::set<int> open;
    int listener = -1;
    std::atomic<bool> stopped{false};
};

http_server::http_server(std::string ip, std::uint16_t port, handler answer)
    : ip_(std::move(ip)), port_(port), answer_(std::move(answer))
{
}

http_server::~http_server()
{
    stop();
}

bool http_server::start()
{
    state_ = std::make_shared<state>();
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = address_of(ip_, port_);
    if (::bind(
            listener,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0 ||
        ::listen(listener, 256) != 0)
    {
        ::close(listener);
        state_.reset();
        return false;
    }
    state_->listener = listener;
    acceptor_ = std::thread(
        [shared = state_, answer = answer_]
        {
            while (!shared->stopped)
            {
                pollfd ready{shared->listener, POLLIN, 0};
                if (::poll(&ready, 1, 100) <= 0)
                {
                    continue;
                }
                const int socket =
                    ::accept4(shared->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                {
                    continue;
                }
                const int on = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(shared->mutex);
                    shared->open.insert(socket);
                }
                std::thread(
                    [shared, answer, socket]
                    {
                        std::string buffer;
                        std::string first;
                        std::string body;
                        std::map<std::string, std::string> headers;
                        while (!shared->stopped &&
                               read_message(
                                   socket,
                                   buffer,
                                   first,
                                   headers,
                                   body,
                                   std::chrono::steady_clock::now() +
                                       std::chrono::hours(1)))
                        {
                            request read;
                            const std::size_t space = first.find(' ');
                            const std::size_t last = first.rfind(' ');
                            read.method = first.substr(0, space);
                            const std::string target =
                                first.substr(space + 1, last - space - 1);
                            const std::size_t mark = target.find('?');
                            read.path = target.substr(0, mark);
                            if (mark != std::string::npos)
                            {
                                read.query =
                                    parse_query(target.substr(mark + 1));
                            }
                            read.headers = headers;
                            read.body = body;
                            const response made = answer(read);
                            if (made.status == 0)
                            {
                                continue;
                            }
                            if (shared->stopped ||
                                !send_all(
                                    socket,
                                    "HTTP/1.1 " + std::to_string(made.status) +
                                        " X\r\nContent-Type: " + made.type +
                                        "\r\nContent-Length: " +
                                        std::to_string(made.body.size()) +
                                        "\r\n\r\n" + made.body))
                            {
                                break;
                            }
                        }
                        const std::lock_guard lock(shared->mutex);
                        shared->open.erase(socket);
                        ::close(socket);
                    })
                    .detach();
            }
        });
    return true;
}

void http_server::stop()
{
    if (!state_)
    {
        return;
    }
    state_->stopped = true;
    acceptor_.join();
    ::close(state_->listener);
    const std::lock_guard lock(state_->mutex);
    for (const int socket : state_->open)
    {
        const linger abort{1, 0};
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(socket, SHUT_RDWR);
    }
    state_.reset();
}

reply call(
    const std::string& ip,
    std::uint16_t port,
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    int timeout_ms)
{
    const auto until = std::chrono::steady_clock::now() +
                       std::chrono::milliseconds(timeout_ms);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(ip, port);
    reply got;
    std::string text = method + ' ' + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
    {
        text += name + ": " + value + "\r\n";
    }
    text +=
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (::connect(
            socket,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) == 0 &&
        send_all(socket, text))
    {
        std::string buffer;
        std::string first;
        std::map<std::string, std::string> got_headers;
        if (read_message(socket, buffer, first, got_headers, got.body, until))
        {
            got.status = std::stoi(first.substr(first.find(' ') + 1));
        }
    }
    ::close(socket);
    return got;
}

} // namespace review
