#include "net/http_client.hpp"

#include "net/counted_stream.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <limits>
#include <optional>
#include <utility>

namespace acaciastile::net
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Maximum size of a response header.
constexpr std::uint32_t header_limit_bytes = 16U << 10U;
/// Most bytes of a response that cannot be parsed one by one: its header, the
/// size line of a chunk, or the last chunk with all trailers.
constexpr std::size_t unparsed_limit_bytes = 64U << 10U;

/// Largest piece in which a response is read.
constexpr std::size_t read_piece_bytes = 64U << 10U;
/// A pooled connection keeps no larger buffer.
constexpr std::size_t idle_buffer_bytes = 4U << 10U;

/// Sets what HTTP asks for in each request.
void complete(http_request& request, const endpoint& target)
{
    request.version(11);
    if (request.find(http::field::host) == request.end())
    {
        request.set(http::field::host, target.str());
    }
    request.prepare_payload();
}

} // namespace

/// One keep-alive connection.
class http_client::connection
{
public:
    explicit connection(boost::asio::io_context& loop)
        : socket(loop), stream(socket), buffer(unparsed_limit_bytes)
    {
    }

    void close()
    {
        error_code ignored; // The peer may have closed the socket already.
        socket.close(ignored);
    }

    tcp::socket socket;
    counted_stream stream;
    beast::flat_buffer buffer;
    instant idle_since{};
    std::uint64_t peer = 0; ///< Identity of the process; zero if not known.
};

/// State of one call.
struct http_client::exchange
{
    endpoint target;
    http_request request;
    http_request introduction; ///< Empty unless it is sent.
    bool repeatable = false;
    completion done;
    peer_check check;
    connection_ptr conn;
    std::optional<http::response_parser<http::string_body>> parser;
    timer_service::timer_id timer = 0;
    timer_service::timer_id introduction_timer = 0;
    bool introduction_repeated = false;
    bool reused = false;
    bool sent = false;
    bool unanswered_copy = false;
    bool finished = false;
};

http_client::http_client(
    boost::asio::io_context& loop,
    timer_service& timers,
    http_client_settings settings)
    : loop_(loop), timers_(timers), settings_(settings)
{
}

http_client::~http_client() = default;

void http_client::call(
    const endpoint& target,
    http_request request,
    milliseconds timeout,
    bool repeatable,
    completion done,
    peer_check check)
{
    ++counts_.calls;
    auto call_state = std::make_shared<exchange>();
    call_state->target = target;
    call_state->request = std::move(request);
    complete(call_state->request, target);
    call_state->check = std::move(check);
    call_state->repeatable = repeatable;
    call_state->done = std::move(done);
    call_state->timer =
        timers_.after(timeout, [this, call_state] { expire(call_state); });
    start(call_state, false);
}

http_client::connection_ptr
http_client::take_idle(const endpoint& target, std::uint64_t required)
{
    const auto at = idle_.find(target);
    if (at == idle_.end())
    {
        return nullptr;
    }
    auto& kept = at->second;
    const instant oldest = timers_.now() - settings_.idle_limit;
    std::erase_if(
        kept,
        [&](const connection_ptr& each)
        {
            const bool other =
                required != 0 && each->peer != 0 && each->peer != required;
            const bool usable =
                !other && each->idle_since >= oldest && each->socket.is_open();
            if (!usable)
            {
                each->close();
            }
            return !usable;
        });
    if (kept.empty())
    {
        return nullptr;
    }
    // One to the required process needs no introduction.
    auto found = std::find_if(
        kept.rbegin(),
        kept.rend(),
        [&](const connection_ptr& each) { return each->peer == required; });
    if (required == 0 || found == kept.rend())
    {
        found = kept.rbegin();
    }
    connection_ptr taken = std::move(*found);
    kept.erase(std::next(found).base());
    return taken;
}

void http_client::return_to_pool(const endpoint& target, connection_ptr idle)
{
    idle->idle_since = timers_.now();
    if (idle->buffer.size() == 0 && idle->buffer.capacity() > idle_buffer_bytes)
    {
        idle->buffer.shrink_to_fit();
    }
    auto& kept = idle_[target];
    kept.push_back(std::move(idle));
    while (kept.size() > settings_.idle_per_endpoint)
    {
        kept.front()->close();
        kept.pop_front();
    }
}

void http_client::start(const exchange_ptr& call_state, bool fresh)
{
    call_state->conn =
        fresh ? nullptr
              : take_idle(call_state->target, call_state->check.required);
    call_state->reused = call_state->conn != nullptr;
    if (call_state->reused)
    {
        proceed(call_state);
        return;
    }
    ++counts_.connects;
    call_state->conn = std::make_shared<connection>(loop_);
    error_code invalid_address;
    const auto address = boost::asio::ip::make_address(
        call_state->target.address, invalid_address);
    if (invalid_address)
    {
        boost::asio::post(
            loop_,
            [this, call_state, invalid_address]
            { finish_unanswered(call_state, invalid_address.message()); });
        return;
    }
    call_state->conn->socket.async_connect(
        tcp::endpoint(address, call_state->target.port),
        [this, call_state](error_code failed)
        {
            if (call_state->finished)
            {
                return;
            }
            if (failed)
            {
                call_state->conn->close();
                finish_unanswered(call_state, failed.message());
                return;
            }
            error_code ignored; // Without this option only latency suffers.
            call_state->conn->socket.set_option(tcp::no_delay(true), ignored);
            proceed(call_state);
        });
}

void http_client::proceed(const exchange_ptr& call_state)
{
    const peer_check& check = call_state->check;
    if (check.required != 0 &&
        (check.always_introduce || call_state->conn->peer != check.required))
    {
        introduce(call_state);
        return;
    }
    send_request(call_state);
}

void http_client::introduce(const exchange_ptr& call_state)
{
    ++counts_.introductions;
    const bool waits = !call_state->introduction_repeated;
    if (waits)
    {
        call_state->introduction_timer = timers_.after(
            call_state->check.introduction_timeout,
            [call_state]
            {
                if (!call_state->finished)
                {
                    call_state->introduction_repeated = true;
                    call_state->conn->close(); // Ends the transfer.
                }
            });
    }
    auto received = [this, call_state, waits](error_code failed)
    {
        if (waits)
        {
            timers_.cancel(call_state->introduction_timer);
        }
        // Also if the response came while the connection was closed.
        const bool gave_up = waits && call_state->introduction_repeated;
        if (failed || gave_up)
        {
            call_state->conn->close();
            if (call_state->reused || gave_up)
            {
                start(call_state, true);
                return;
            }
            finish_unanswered(call_state, failed.message());
            return;
        }
        http_response response = call_state->parser->release();
        const peer_check& check = call_state->check;
        const bool refused = response.result() != http::status::ok;
        const std::uint64_t peer =
            refused ? 0 : check.introduction_identity(response);
        call_state->conn->peer = peer;
        if (peer == check.required && response.keep_alive())
        {
            send_request(call_state);
            return;
        }
        release(call_state, response);
        http_outcome outcome;
        outcome.effect =
            call_state->sent ? verdict::may_have_run : verdict::not_run;
        outcome.other_peer = peer != 0 && peer != check.required;
        outcome.introduction_refused = refused;
        outcome.failure = refused              ? "the introduction was refused"
                          : outcome.other_peer ? "another process answered"
                          : peer == 0 ? "the process did not tell its identity"
                                      : "the peer keeps no connection";
        if (refused)
        {
            outcome.response = std::move(response);
        }
        finish(call_state, std::move(outcome));
    };
    call_state->introduction = call_state->check.introduction();
    complete(call_state->introduction, call_state->target);
    transfer(call_state, call_state->introduction, received);
}

void http_client::send_request(const exchange_ptr& call_state)
{
    call_state->sent = true;
    auto received = [this, call_state](error_code failed)
    {
        if (!failed)
        {
            http_outcome outcome;
            outcome.effect = verdict::ran;
            outcome.response = call_state->parser->release();
            const auto& identity = call_state->check.response_identity;
            const std::uint64_t peer =
                identity ? identity(outcome.response) : 0;
            if (peer != 0)
            {
                call_state->conn->peer = peer;
            }
            release(call_state, outcome.response);
            finish(call_state, std::move(outcome));
            return;
        }
        call_state->conn->close();
        if (call_state->reused && call_state->repeatable)
        {
            call_state->unanswered_copy = true;
            start(call_state, true);
            return;
        }
        finish_unanswered(call_state, failed.message());
    };
    transfer(call_state, call_state->request, received);
}

void http_client::transfer(
    const exchange_ptr& call_state,
    const http_request& message,
    transfer_end done)
{
    auto received = [call_state, done](error_code failed)
    {
        if (!call_state->finished)
        {
            done(failed);
        }
    };
    auto written = [this, call_state, received](error_code failed, std::size_t)
    {
        if (failed)
        {
            received(failed);
            return;
        }
        call_state->parser.emplace();
        call_state->parser->eager(true);
        call_state->parser->body_limit(settings_.body_limit);
        call_state->parser->header_limit(header_limit_bytes);
        call_state->conn->stream.restart(header_limit_bytes);
        call_state->conn->stream.on_bytes = [state = call_state.get()]
        {
            if (state->parser->is_header_done())
            {
                state->conn->stream.set_limit(
                    std::numeric_limits<std::uint64_t>::max());
            }
        };
        read_response(call_state, received);
    };
    http::async_write(call_state->conn->socket, message, written);
}

void http_client::read_response(
    const exchange_ptr& call_state, const transfer_end& done)
{
    http::async_read_some(
        call_state->conn->stream,
        call_state->conn->buffer,
        *call_state->parser,
        [this, call_state, done](error_code failed, std::size_t)
        {
            if (failed || call_state->finished || call_state->parser->is_done())
            {
                done(failed);
                return;
            }
            // A read fills the free part of the buffer. In pieces of its first
            // size a large body would take thousands of turns of the loop.
            const auto left = call_state->parser->content_length_remaining();
            if (left && *left > call_state->conn->buffer.capacity())
            {
                call_state->conn->buffer.reserve(static_cast<std::size_t>(
                    std::min<std::uint64_t>(*left, read_piece_bytes)));
            }
            read_response(call_state, done);
        });
}

void http_client::release(
    const exchange_ptr& call_state, const http_response& response)
{
    if (response.keep_alive())
    {
        return_to_pool(call_state->target, call_state->conn);
    }
    else
    {
        call_state->conn->close();
    }
}

void http_client::finish(const exchange_ptr& call_state, http_outcome outcome)
{
    if (call_state->finished)
    {
        return;
    }
    call_state->finished = true;
    timers_.cancel(call_state->timer);
    call_state->conn.reset();
    outcome.unanswered_copy = call_state->unanswered_copy;
    completion done = std::move(call_state->done);
    done(std::move(outcome));
}

void http_client::finish_unanswered(
    const exchange_ptr& call_state, std::string failure)
{
    http_outcome outcome;
    outcome.effect =
        call_state->sent ? verdict::may_have_run : verdict::not_run;
    outcome.failure = std::move(failure);
    finish(call_state, std::move(outcome));
}

void http_client::expire(const exchange_ptr& call_state)
{
    if (call_state->finished)
    {
        return;
    }
    ++counts_.timeouts;
    if (call_state->conn)
    {
        call_state->conn->close();
    }
    for (auto& idle : idle_[call_state->target])
    {
        idle->close();
    }
    idle_.erase(call_state->target);
    // Keep `call_state->conn`: pending socket handlers still use it.
    call_state->finished = true;
    http_outcome outcome;
    outcome.effect =
        call_state->sent ? verdict::may_have_run : verdict::not_run;
    outcome.failure = "timeout";
    outcome.timed_out = true;
    outcome.unanswered_copy = call_state->unanswered_copy;
    completion done = std::move(call_state->done);
    done(std::move(outcome));
}

} // namespace acaciastile::net
