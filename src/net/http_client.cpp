#include "net/http_client.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
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

} // namespace

/// One keep-alive connection.
class http_client::connection
{
public:
    explicit connection(boost::asio::io_context& loop) : socket(loop) {}

    void close()
    {
        error_code ignored; // The peer may have closed the socket already.
        socket.close(ignored);
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    instant idle_since{};
};

/// State of one call.
struct http_client::exchange
{
    endpoint target;
    http_request request;
    bool repeatable = false;
    completion done;
    connection_ptr conn;
    std::optional<http::response_parser<http::string_body>> parser;
    timer_service::timer_id timer = 0;
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
    completion done)
{
    ++counts_.calls;
    auto call_state = std::make_shared<exchange>();
    call_state->target = target;
    call_state->request = std::move(request);
    call_state->request.version(11);
    if (call_state->request.find(http::field::host) ==
        call_state->request.end())
    {
        call_state->request.set(http::field::host, target.str());
    }
    call_state->request.prepare_payload();
    call_state->repeatable = repeatable;
    call_state->done = std::move(done);
    call_state->timer =
        timers_.after(timeout, [this, call_state] { expire(call_state); });
    start(call_state, false);
}

http_client::connection_ptr http_client::take_idle(const endpoint& target)
{
    const auto at = idle_.find(target);
    if (at == idle_.end())
    {
        return nullptr;
    }
    const instant oldest = timers_.now() - settings_.idle_limit;
    while (!at->second.empty())
    {
        connection_ptr found = std::move(at->second.back());
        at->second.pop_back();
        if (found->idle_since >= oldest && found->socket.is_open())
        {
            return found;
        }
        found->close();
    }
    return nullptr;
}

void http_client::return_to_pool(const endpoint& target, connection_ptr idle)
{
    idle->idle_since = timers_.now();
    auto& kept = idle_[target];
    kept.push_back(std::move(idle));
    while (kept.size() > settings_.idle_per_endpoint)
    {
        kept.front()->close();
        kept.pop_front();
    }
}

void http_client::start(std::shared_ptr<exchange> call_state, bool fresh)
{
    auto send = [this, call_state]
    {
        call_state->sent = true;
        auto received = [this, call_state](error_code failed, std::size_t)
        {
            if (call_state->finished)
            {
                return;
            }
            if (!failed)
            {
                http_outcome outcome;
                outcome.effect = verdict::ran;
                outcome.response = call_state->parser->release();
                if (outcome.response.keep_alive())
                {
                    return_to_pool(call_state->target, call_state->conn);
                }
                else
                {
                    call_state->conn->close();
                }
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
            finish(call_state, {verdict::may_have_run, {}, failed.message()});
        };
        auto written =
            [this, call_state, received](error_code failed, std::size_t)
        {
            if (failed)
            {
                received(failed, 0);
                return;
            }
            call_state->parser.emplace();
            call_state->parser->body_limit(settings_.body_limit);
            call_state->parser->header_limit(header_limit_bytes);
            http::async_read(
                call_state->conn->socket,
                call_state->conn->buffer,
                *call_state->parser,
                received);
        };
        http::async_write(
            call_state->conn->socket, call_state->request, written);
    };

    call_state->conn = fresh ? nullptr : take_idle(call_state->target);
    call_state->reused = call_state->conn != nullptr;
    if (call_state->reused)
    {
        send();
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
            [this, call_state, invalid_address] {
                finish(
                    call_state,
                    {verdict::not_run, {}, invalid_address.message()});
            });
        return;
    }
    call_state->conn->socket.async_connect(
        tcp::endpoint(address, call_state->target.port),
        [this, call_state, send](error_code failed)
        {
            if (call_state->finished)
            {
                return;
            }
            if (failed)
            {
                call_state->conn->close();
                const verdict effect =
                    call_state->sent ? verdict::may_have_run : verdict::not_run;
                finish(call_state, {effect, {}, failed.message()});
                return;
            }
            error_code ignored; // Without this option only latency suffers.
            call_state->conn->socket.set_option(tcp::no_delay(true), ignored);
            send();
        });
}

void http_client::finish(
    const std::shared_ptr<exchange>& call_state, http_outcome outcome)
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

void http_client::expire(const std::shared_ptr<exchange>& call_state)
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
    const verdict effect =
        call_state->sent ? verdict::may_have_run : verdict::not_run;
    // Keep `call_state->conn`: pending socket handlers still use it.
    call_state->finished = true;
    completion done = std::move(call_state->done);
    done({effect, {}, "timeout", true, call_state->unanswered_copy});
}

} // namespace acaciastile::net
