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

/// Largest header of a response, in bytes.
constexpr std::uint32_t header_limit = 16U << 10U;

} // namespace

/// One kept connection.
class http_client::connection
{
public:
    explicit connection(boost::asio::io_context& loop) : socket(loop) {}

    void close()
    {
        error_code ignored; // Closing is best effort: the peer may be gone.
        socket.close(ignored);
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    instant idle_since{};
};

/// One call with all that its steps need.
struct http_client::exchange
{
    endpoint target;
    http_request request;
    bool repeatable = false;
    completion done;
    connection_ptr link;
    std::optional<http::response_parser<http::string_body>> parser;
    timer_service::ticket timer = 0;
    bool reused = false;
    bool sent = false;
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
    auto work = std::make_shared<exchange>();
    work->target = target;
    work->request = std::move(request);
    work->request.version(11);
    if (work->request.find(http::field::host) == work->request.end())
    {
        work->request.set(http::field::host, target.str());
    }
    work->request.prepare_payload();
    work->repeatable = repeatable;
    work->done = std::move(done);
    work->timer = timers_.after(timeout, [this, work] { expire(work); });
    start(work, false);
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

void http_client::keep(const endpoint& target, connection_ptr idle)
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

void http_client::start(std::shared_ptr<exchange> work, bool fresh)
{
    auto send = [this, work]
    {
        work->sent = true;
        auto received = [this, work](error_code failed, std::size_t)
        {
            if (work->finished)
            {
                return;
            }
            if (!failed)
            {
                http_outcome outcome;
                outcome.effect = verdict::ran;
                outcome.response = work->parser->release();
                if (outcome.response.keep_alive())
                {
                    keep(work->target, work->link);
                }
                else
                {
                    work->link->close();
                }
                finish(work, std::move(outcome));
                return;
            }
            work->link->close();
            if (work->reused && work->repeatable)
            {
                start(work, true);
                return;
            }
            finish(work, {verdict::may_have_run, {}, failed.message()});
        };
        auto written = [this, work, received](error_code failed, std::size_t)
        {
            if (failed)
            {
                received(failed, 0);
                return;
            }
            work->parser.emplace();
            work->parser->body_limit(settings_.body_limit);
            work->parser->header_limit(header_limit);
            http::async_read(
                work->link->socket,
                work->link->buffer,
                *work->parser,
                received);
        };
        http::async_write(work->link->socket, work->request, written);
    };

    work->link = fresh ? nullptr : take_idle(work->target);
    work->reused = work->link != nullptr;
    if (work->reused)
    {
        send();
        return;
    }
    ++counts_.connects;
    work->link = std::make_shared<connection>(loop_);
    error_code unusable;
    const auto address =
        boost::asio::ip::make_address(work->target.address, unusable);
    if (unusable)
    {
        boost::asio::post(
            loop_,
            [this, work, unusable] {
                finish(work, {verdict::not_run, {}, unusable.message()});
            });
        return;
    }
    work->link->socket.async_connect(
        tcp::endpoint(address, work->target.port),
        [this, work, send](error_code failed)
        {
            if (work->finished)
            {
                return;
            }
            if (failed)
            {
                work->link->close();
                const verdict effect =
                    work->sent ? verdict::may_have_run : verdict::not_run;
                finish(work, {effect, {}, failed.message()});
                return;
            }
            error_code ignored; // Only latency depends on this option.
            work->link->socket.set_option(tcp::no_delay(true), ignored);
            send();
        });
}

void http_client::finish(
    const std::shared_ptr<exchange>& work, http_outcome outcome)
{
    if (work->finished)
    {
        return;
    }
    work->finished = true;
    timers_.cancel(work->timer);
    work->link.reset();
    completion done = std::move(work->done);
    done(std::move(outcome));
}

void http_client::expire(const std::shared_ptr<exchange>& work)
{
    if (work->finished)
    {
        return;
    }
    ++counts_.timeouts;
    if (work->link)
    {
        work->link->close();
    }
    for (auto& idle : idle_[work->target])
    {
        idle->close();
    }
    idle_.erase(work->target);
    const verdict effect =
        work->sent ? verdict::may_have_run : verdict::not_run;
    // The socket's handlers still refer to the connection.
    work->finished = true;
    completion done = std::move(work->done);
    done({effect, {}, "timeout", true});
}

} // namespace acaciastile::net
