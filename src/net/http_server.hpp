#pragma once

#include "domain/result.hpp"
#include "net/http_types.hpp"
#include "net/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

namespace acaciastile::net
{

/// Limits of an `http_server`.
struct http_server_settings
{
    std::uint32_t header_limit = 16U << 10U; ///< In bytes.
    std::uint64_t body_limit = 256U << 10U;  ///< In bytes.
    std::size_t connections = 1'000;         ///< Maximum open connections.
};

/// Sends the response to one request. Must be called once; the call may come
/// after the handler returned.
using http_responder = std::function<void(http_response)>;
/// Handles one request and passes the response to the responder.
using http_handler = std::function<void(http_request, http_responder)>;

/// HTTP server for one address. Runs on the event loop's thread. Requests on
/// one connection are handled in sequence.
class http_server
{
public:
    /// Starts to listen. Errors: `unreachable` if the address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<http_server>> create(
        boost::asio::io_context& loop,
        const endpoint& address,
        http_server_settings settings,
        http_handler handler);

    ~http_server();

    /// Stops accepting connections. Requests that were read still get their
    /// response, after which their connection is closed.
    void drain();

    /// Number of requests that were read and whose response was not sent in
    /// full.
    [[nodiscard]] std::size_t active_requests() const noexcept
    {
        return active_requests_;
    }

private:
    class session;

    http_server(
        boost::asio::io_context& loop,
        http_server_settings settings,
        http_handler handler);

    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    http_server_settings settings_;
    http_handler handler_;
    std::set<std::shared_ptr<session>> sessions_;
    std::size_t active_requests_ = 0;
    bool draining_ = false;
};

} // namespace acaciastile::net
