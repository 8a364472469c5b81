#pragma once

#include "entry/http_daemon.hpp"
#include "entry/listen_socket.hpp"

#include <memory>
#include <mutex>
#include <vector>

namespace acaciastile
{

/// An HTTP interface of this process: one listening socket and the server on
/// it, which can be replaced without dropping a request.
class http_listener
{
public:
    /// Starts to serve. Errors: `invalid_value` for the address or the TLS
    /// files, `internal`.
    [[nodiscard]] static result<std::unique_ptr<http_listener>> create(
        listener_settings settings,
        std::vector<api_route> routes,
        metric_sink& measurements);

    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Reads the TLS files again and serves new connections with them. A new
    /// server takes the same socket over before the old one lets go of it;
    /// the old one ends once its requests have their answers or the bound has
    /// passed, and its silent connections have closed or the idle timeout has
    /// passed. Errors: those of the files; the old ones stay in use.
    [[nodiscard]] result<void> reload(milliseconds bound);

    /// From now on every answer closes its connection.
    void begin_closing();

    /// Accepts no further connection and waits for the answers in hand, then a
    /// moment for silent connections to close. False where the bound passed
    /// before every request had its answer.
    [[nodiscard]] bool finish(milliseconds bound);

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::size_t in_hand() const;

private:
    http_listener(
        listener_settings settings,
        std::vector<api_route> routes,
        metric_sink& measurements,
        listen_socket socket);

    [[nodiscard]] result<std::unique_ptr<http_daemon>> make_daemon();
    /// The server in use. Nobody waits while the lock is held: the control
    /// thread asks for counts at every tick.
    [[nodiscard]] std::shared_ptr<http_daemon> daemon() const;

    listener_shared shared_;
    listen_socket socket_;
    std::uint16_t port_ = 0;
    mutable std::mutex guard_;
    std::shared_ptr<http_daemon> daemon_;
};

} // namespace acaciastile
