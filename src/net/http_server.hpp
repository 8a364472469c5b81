#pragma once

#include "domain/result.hpp"
#include "net/http_types.hpp"
#include "net/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string_view>

namespace acaciastile::net
{

/// Why a server refused a request or closed a connection.
enum class connection_limit
{
    places,  ///< All connections were in use and another client came.
    memory,  ///< The sessions together held too much.
    size,    ///< A message, or a line of it, was too long.
    duration ///< A message, its answer or a pause took too long.
};
inline constexpr std::size_t connection_limit_kinds = 4;

/// Name of the limit in metrics.
[[nodiscard]] std::string_view name_of(connection_limit limit) noexcept;

/// Limits of an `http_server`. Clients that reach one are answered with an
/// error, or their connection is closed.
struct http_server_settings
{
    std::uint32_t header_limit = 16U << 10U; ///< In bytes.
    std::uint64_t body_limit = 256U << 10U;  ///< In bytes.
    /// Maximum open connections. If all are in use, the one that has been quiet
    /// for longest makes room for a new one, unless its request is in hand.
    std::size_t connections = 1'000;
    /// Most bytes of a message that cannot be parsed one by one: its header,
    /// the size line of a chunk, or the last chunk with all trailers.
    std::size_t unparsed_limit = 32U << 10U;
    /// Most bytes of a message as received, with the framing of its chunks.
    std::uint64_t message_limit = 2U << 20U;
    /// Most bytes that all sessions together hold of requests and answers.
    std::size_t memory_limit = 64U << 20U;
    /// How long a message may take to arrive, and an answer to be taken.
    milliseconds message_time{30'000};
    /// How long a connection may stay open between two messages.
    milliseconds idle_time{300'000};
    /// Time between two looks at how long connections take. The two times
    /// above count looks: a process that stood still has not looked, and closes
    /// no connection for the time in which it read nothing.
    milliseconds look_interval{5'000};
    /// Called when a client reaches a limit; may be empty.
    std::function<void(connection_limit)> on_limit;
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
    void accept_later();
    void add_session(boost::asio::ip::tcp::socket socket);
    /// Closes the connection that has been quiet for longest and whose request
    /// is not in hand; of those that wait for an answer to be taken only if
    /// there is no other. Returns false if there is none.
    bool make_room(connection_limit reason);
    /// Closes connections until the sessions hold no more than they may.
    /// Returns false if they still do.
    bool fit_memory();
    /// Closes the connections that take too long, now and at intervals.
    void look();
    void report(connection_limit limit);

    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::steady_timer accept_timer_;
    boost::asio::steady_timer look_timer_;
    http_server_settings settings_;
    http_handler handler_;
    std::set<std::shared_ptr<session>> sessions_;
    std::size_t active_requests_ = 0;
    std::size_t held_bytes_ = 0; ///< Of all sessions.
    std::uint64_t activity_ =
        0; ///< Counts reads and writes, to order sessions.
    bool draining_ = false;
    /// Expires with the server, for handlers that are queued by then.
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace acaciastile::net
