#include "entry/http_listener.hpp"

#include <utility>

namespace acaciastile
{

namespace
{

/// How long silent connections are kept after the last answer.
constexpr milliseconds last_linger{1'000};

} // namespace

result<std::unique_ptr<http_listener>> http_listener::create(
    listener_settings settings,
    std::vector<api_route> routes,
    metric_sink& measurements)
{
    auto socket = listen_socket::create(settings.address);
    if (!socket)
    {
        return tl::unexpected(socket.error());
    }
    std::unique_ptr<http_listener> made(new http_listener(
        std::move(settings),
        std::move(routes),
        measurements,
        *std::move(socket)));
    auto daemon = made->make_daemon();
    if (!daemon)
    {
        return tl::unexpected(daemon.error());
    }
    made->daemon_ = *std::move(daemon);
    return made;
}

http_listener::http_listener(
    listener_settings settings,
    std::vector<api_route> routes,
    metric_sink& measurements,
    listen_socket socket)
    : socket_(std::move(socket)), port_(socket_.port())
{
    shared_.settings = std::move(settings);
    shared_.routes = std::move(routes);
    shared_.measurements = &measurements;
}

http_listener::~http_listener() = default;

result<std::unique_ptr<http_daemon>> http_listener::make_daemon()
{
    auto descriptor = socket_.duplicate();
    if (!descriptor)
    {
        return tl::unexpected(descriptor.error());
    }
    return http_daemon::create(shared_, *descriptor);
}

result<void> http_listener::reload(milliseconds bound)
{
    auto fresh = make_daemon();
    if (!fresh)
    {
        return tl::unexpected(fresh.error());
    }
    std::shared_ptr<http_daemon> old;
    {
        const std::lock_guard lock(guard_);
        old = std::exchange(daemon_, *std::move(fresh));
    }
    static_cast<void>(old->finish(bound, shared_.settings.idle_timeout));
    return {};
}

std::shared_ptr<http_daemon> http_listener::daemon() const
{
    const std::lock_guard lock(guard_);
    return daemon_;
}

void http_listener::begin_closing()
{
    daemon()->begin_closing();
}

bool http_listener::finish(milliseconds bound)
{
    socket_.close();
    return daemon()->finish(bound, last_linger);
}

std::string http_listener::address() const
{
    return shared_.settings.address.host + ":" + std::to_string(port_);
}

std::size_t http_listener::in_hand() const
{
    return daemon()->in_hand();
}

} // namespace acaciastile
