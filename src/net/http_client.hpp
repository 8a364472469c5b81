#pragma once

#include "net/http_types.hpp"
#include "net/timer_service.hpp"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace acaciastile::net
{

/// Limits of an `http_client`.
struct http_client_settings
{
    /// Maximum number of idle connections per endpoint.
    std::size_t idle_per_endpoint = 8;
    /// Connections that were idle for longer are closed instead of reused.
    milliseconds idle_limit{12'000};
    /// Maximum size of a response body, in bytes.
    std::uint64_t body_limit = 8U << 20U;
};

/// Totals since the client was created.
struct http_client_counts
{
    std::uint64_t calls = 0;
    std::uint64_t connects = 0; ///< New connections.
    std::uint64_t timeouts = 0;
    std::uint64_t introductions = 0; ///< See `peer_check`.
};

/// HTTP client with pooled keep-alive connections. Runs on the event loop's
/// thread. A call that times out closes its connection and all idle connections
/// to the same endpoint, because a network path that drops packets affects all
/// of them.
class http_client
{
public:
    using completion = std::function<void(http_outcome)>;

    http_client(
        boost::asio::io_context& loop,
        timer_service& timers,
        http_client_settings settings = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. `done` runs exactly once, unless the client is
    /// destroyed first. If a pooled connection fails, for example because the
    /// peer closed it while it was idle, and `repeatable` says that the request
    /// may be executed twice, it is sent again on a new connection. The outcome
    /// says so: `http_outcome::unanswered_copy`. `check` names the process that
    /// the request is meant for, also for that repetition; the timeout covers
    /// the introduction as well.
    void call(
        const endpoint& target,
        http_request request,
        milliseconds timeout,
        bool repeatable,
        completion done,
        peer_check check = {});

    [[nodiscard]] const http_client_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    class connection;
    struct exchange;
    using connection_ptr = std::shared_ptr<connection>;

    using exchange_ptr = std::shared_ptr<exchange>;
    using transfer_end = std::function<void(boost::system::error_code)>;

    /// Gets a connection, a new one if `fresh`, and sends what is due on it.
    void start(const exchange_ptr& call_state, bool fresh);
    /// Sends the introduction if the connection needs one, else the request.
    void proceed(const exchange_ptr& call_state);
    void introduce(const exchange_ptr& call_state);
    void send_request(const exchange_ptr& call_state);
    /// Sends `message`, a part of `call_state`, and reads the response into its
    /// parser. `done` does not run once the call is finished.
    void transfer(
        const exchange_ptr& call_state,
        const http_request& message,
        transfer_end done);
    /// Reads what is left of a response into the call's parser.
    void
    read_response(const exchange_ptr& call_state, const transfer_end& done);
    void finish(const exchange_ptr& call_state, http_outcome outcome);
    /// As above, for a call whose request got no response.
    void finish_unanswered(const exchange_ptr& call_state, std::string failure);
    void expire(const exchange_ptr& call_state);
    /// Keeps the connection if the peer does, else closes it.
    void release(const exchange_ptr& call_state, const http_response& response);
    void return_to_pool(const endpoint& target, connection_ptr idle);
    /// An idle connection to the required process, or to one that is not known.
    connection_ptr take_idle(const endpoint& target, std::uint64_t required);

    boost::asio::io_context& loop_;
    timer_service& timers_;
    http_client_settings settings_;
    http_client_counts counts_;
    absl::flat_hash_map<endpoint, std::deque<connection_ptr>> idle_;
};

} // namespace acaciastile::net
