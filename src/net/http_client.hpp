#pragma once

#include "net/http_types.hpp"
#include "net/timer_service.hpp"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace acaciastile::net
{

struct http_client_settings
{
    /// Idle connections kept for one endpoint.
    std::size_t idle_per_endpoint = 8;
    /// A connection idle for longer is not used again.
    milliseconds idle_limit{12'000};
    /// Largest response body, in bytes.
    std::uint64_t body_limit = 8U << 20U;
};

struct http_client_counts
{
    std::uint64_t calls = 0;
    std::uint64_t connects = 0;
    std::uint64_t timeouts = 0;
};

/// Makes HTTP calls over kept connections on the loop's thread. A call that
/// times out closes its connection and every idle connection to the same
/// endpoint, because a silent path harms all of them alike.
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

    /// Sends a request; `done` runs exactly once, unless the client is
    /// destroyed first. A connection that was closed by its peer while idle
    /// is replaced by a new one where nothing of the answer was read and
    /// `repeatable` says that the call may be carried out twice.
    void call(
        const endpoint& target,
        http_request request,
        milliseconds timeout,
        bool repeatable,
        completion done);

    [[nodiscard]] const http_client_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    class connection;
    struct exchange;
    using connection_ptr = std::shared_ptr<connection>;

    void start(std::shared_ptr<exchange> work, bool fresh);
    void finish(const std::shared_ptr<exchange>& work, http_outcome outcome);
    void expire(const std::shared_ptr<exchange>& work);
    void keep(const endpoint& target, connection_ptr idle);
    connection_ptr take_idle(const endpoint& target);

    boost::asio::io_context& loop_;
    timer_service& timers_;
    http_client_settings settings_;
    http_client_counts counts_;
    std::map<endpoint, std::deque<connection_ptr>> idle_;
};

} // namespace acaciastile::net
