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

struct http_server_settings
{
    std::uint32_t header_limit = 16U << 10U; ///< Bytes.
    std::uint64_t body_limit = 256U << 10U;  ///< Bytes.
    std::size_t connections = 1'000;         ///< Open at once.
};

/// Sends the answer to one request; may be called later, once.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

/// Accepts HTTP connections on one address, on the loop's thread. Requests of
/// one connection are handled one after the other.
class http_server
{
public:
    /// Errors: `unreachable` where the address cannot be listened on.
    [[nodiscard]] static result<std::unique_ptr<http_server>> create(
        boost::asio::io_context& loop,
        const endpoint& address,
        http_server_settings settings,
        http_handler handler);

    ~http_server();

    /// Accepts no more connections; answers to requests in hand still go out,
    /// each closing its connection.
    void drain();

    /// Requests that were read and not yet answered in full.
    [[nodiscard]] std::size_t in_hand() const noexcept { return in_hand_; }

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
    std::size_t in_hand_ = 0;
    bool draining_ = false;
};

} // namespace acaciastile::net
