#include "net/http_server.hpp"

#include "net/counted_stream.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace acaciastile::net
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// Time until the next try after a connection could not be accepted, for
/// example because the process has no descriptor left.
constexpr milliseconds accept_retry_delay{20};

/// An idle session keeps no larger buffer.
constexpr std::size_t idle_buffer_bytes = 4U << 10U;

/// Memory that one field of a header takes beside its text.
constexpr std::size_t field_cost = 96;
/// Memory for each byte of a header whose fields are as short as can be.
constexpr std::size_t shortest_field_cost = field_cost / 4;

/// Memory that the fields of a request take.
std::size_t cost_of(const http_request& request)
{
    std::size_t bytes = field_cost;
    for (const auto& each : request)
    {
        bytes += field_cost + each.name_string().size() + each.value().size();
    }
    return bytes;
}

std::uint32_t looks_in(milliseconds time, milliseconds interval)
{
    return static_cast<std::uint32_t>(
        (time + interval - milliseconds(1)) / interval);
}

} // namespace

std::string_view name_of(connection_limit limit) noexcept
{
    constexpr std::array<std::string_view, connection_limit_kinds> names{
        "places", "memory", "size", "duration"};
    return names[static_cast<std::size_t>(limit)];
}

/// One accepted connection.
class http_server::session
    : public std::enable_shared_from_this<http_server::session>
{
public:
    enum class phase
    {
        idle,     ///< Between two messages.
        reading,  ///< A part of a request has arrived.
        handling, ///< A whole request was read and has no answer yet.
        writing
    };

    session(http_server& owner, tcp::socket socket)
        : owner_(&owner),
          socket_(std::move(socket)),
          stream_(socket_),
          buffer_(owner.settings_.unparsed_limit)
    {
        stream_.on_bytes = [this] { on_bytes(); };
    }

    void read()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(owner_->settings_.header_limit);
        parser_->body_limit(owner_->settings_.body_limit);
        // A read may bring more than the header.
        stream_.restart(
            owner_->settings_.header_limit + owner_->settings_.unparsed_limit);
        fields_bytes_ = 0;
        if (buffer_.size() == 0 && buffer_.capacity() > idle_buffer_bytes)
        {
            buffer_.shrink_to_fit();
        }
        enter(buffer_.size() == 0 ? phase::idle : phase::reading);
        read_some();
    }

    void close()
    {
        error_code ignored; // The peer may have closed the socket already.
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        if (owner_ != nullptr)
        {
            hold(0);
            owner_->sessions_.erase(shared_from_this());
        }
    }

    /// Closes the session because the server is being destroyed. Handlers that
    /// are still pending do nothing.
    void detach()
    {
        owner_ = nullptr;
        close();
    }

    [[nodiscard]] phase present() const noexcept { return phase_; }
    [[nodiscard]] std::size_t held() const noexcept { return held_; }
    [[nodiscard]] std::uint64_t last_activity() const noexcept
    {
        return last_activity_;
    }

    /// Notes a look at the sessions. Returns false if this one takes too long.
    [[nodiscard]] bool is_in_time()
    {
        ++looks_;
        const http_server_settings& limits = owner_->settings_;
        const milliseconds most =
            phase_ == phase::idle ? limits.idle_time : limits.message_time;
        return phase_ == phase::handling ||
               looks_ <= looks_in(most, limits.look_interval);
    }

private:
    void enter(phase next)
    {
        phase_ = next;
        looks_ = 0;
        note_activity();
    }

    void note_activity()
    {
        last_activity_ = ++owner_->activity_;
        std::size_t bytes =
            fields_bytes_ + request_bytes_ + response_.body().size();
        if (phase_ == phase::reading)
        {
            bytes += buffer_.capacity();
            bytes += parser_->is_header_done()
                         ? parser_->get().body().capacity()
                         : stream_.received() * shortest_field_cost;
        }
        hold(bytes);
    }

    /// Changes the limit of the message once its header is known.
    void note_header()
    {
        if (fields_bytes_ == 0 && parser_->is_header_done())
        {
            stream_.set_limit(owner_->settings_.message_limit);
            fields_bytes_ = cost_of(parser_->get());
        }
    }

    /// Called when bytes arrive, also within a header, of which the parser
    /// tells only at its end.
    void on_bytes()
    {
        if (owner_ == nullptr || !parser_ || !socket_.is_open())
        {
            return;
        }
        if (phase_ == phase::idle)
        {
            enter(phase::reading);
        }
        note_header();
        note_activity();
        static_cast<void>(owner_->fit_memory());
    }

    /// Accounts for the bytes that the session holds from now on; none once it
    /// is closed.
    void hold(std::size_t bytes)
    {
        bytes = socket_.is_open() ? bytes : 0;
        owner_->held_bytes_ += bytes - held_;
        held_ = bytes;
    }

    /// Lets the next read take more of a large body: it fills the free part of
    /// the buffer.
    void grow_buffer()
    {
        const auto left = parser_->content_length_remaining();
        if (left && *left > buffer_.capacity())
        {
            buffer_.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(
                *left, owner_->settings_.unparsed_limit)));
        }
    }

    void read_some()
    {
        http::async_read_some(
            stream_,
            buffer_,
            *parser_,
            [self = shared_from_this()](error_code failed, std::size_t)
            { self->on_read(failed); });
    }

    void on_read(error_code failed)
    {
        if (owner_ == nullptr || !socket_.is_open())
        {
            return;
        }
        if (failed == http::error::body_limit ||
            (failed == http::error::header_limit && parser_->is_header_done()))
        {
            refuse(http::status::payload_too_large);
            return;
        }
        if (failed == http::error::buffer_overflow ||
            failed == http::error::header_limit)
        {
            refuse(http::status::request_header_fields_too_large);
            return;
        }
        if (failed)
        {
            close();
            return;
        }
        if (parser_->is_done())
        {
            on_request();
            return;
        }
        note_header();
        grow_buffer();
        note_activity();
        read_some();
    }

    void on_request()
    {
        http_request request = parser_->release();
        parser_.reset();
        fields_bytes_ = 0;
        request_bytes_ = cost_of(request) + request.body().capacity();
        enter(phase::handling);
        if (!owner_->fit_memory())
        {
            // No status is true here: a copy of the request may have run.
            owner_->report(connection_limit::memory);
            close();
            return;
        }
        ++owner_->active_requests_;
        const unsigned version = request.version();
        const bool keep = request.keep_alive();
        owner_->handler_(
            std::move(request),
            [self = shared_from_this(), version, keep](http_response response)
            { self->send_response(std::move(response), version, keep); });
    }

    /// Answers a message that reaches a limit, and closes the connection.
    void refuse(http::status status)
    {
        owner_->report(connection_limit::size);
        ++owner_->active_requests_;
        http_response refused;
        refused.result(status);
        send_response(std::move(refused), 11, false);
    }

    void send_response(http_response response, unsigned version, bool keep)
    {
        if (owner_ == nullptr)
        {
            return;
        }
        response_ = std::move(response);
        response_.version(version);
        response_.keep_alive(keep && !owner_->draining_);
        response_.prepare_payload();
        request_bytes_ = 0;
        enter(phase::writing);
        http::async_write(
            socket_,
            response_,
            [self = shared_from_this()](error_code failed, std::size_t)
            { self->on_response_sent(failed); });
    }

    void on_response_sent(error_code failed)
    {
        if (owner_ == nullptr)
        {
            return;
        }
        --owner_->active_requests_;
        const bool keep = response_.keep_alive();
        response_ = {};
        if (failed || !keep || !socket_.is_open())
        {
            close();
            return;
        }
        read();
    }

    http_server* owner_; ///< Null after the server was destroyed.
    tcp::socket socket_;
    counted_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_response response_;
    phase phase_ = phase::idle;
    std::size_t fields_bytes_ = 0;  ///< Header that was read; zero before.
    std::size_t request_bytes_ = 0; ///< Of the request in hand.
    std::size_t held_ = 0;          ///< Counted in `held_bytes_`.
    std::uint64_t last_activity_ = 0;
    std::uint32_t looks_ = 0; ///< Looks since the present phase began.
};

result<std::unique_ptr<http_server>> http_server::create(
    boost::asio::io_context& loop,
    const endpoint& address,
    http_server_settings settings,
    http_handler handler)
{
    std::unique_ptr<http_server> created(
        new http_server(loop, std::move(settings), std::move(handler)));
    error_code failed;
    const tcp::endpoint local(
        boost::asio::ip::make_address(address.address, failed), address.port);
    if (!failed)
    {
        created->acceptor_.open(local.protocol(), failed);
    }
    if (!failed)
    {
        created->acceptor_.set_option(
            tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed)
    {
        created->acceptor_.bind(local, failed);
    }
    if (!failed)
    {
        created->acceptor_.listen(
            boost::asio::socket_base::max_listen_connections, failed);
    }
    if (failed)
    {
        return refuse(
            refusal_code::unreachable,
            "cannot listen on " + address.str() + ": " + failed.message());
    }
    created->accept();
    created->look();
    return created;
}

http_server::http_server(
    boost::asio::io_context& loop,
    http_server_settings settings,
    http_handler handler)
    : acceptor_(loop),
      accept_timer_(loop),
      look_timer_(loop),
      settings_(std::move(settings)),
      handler_(std::move(handler))
{
}

http_server::~http_server()
{
    const auto sessions = std::move(sessions_);
    for (const auto& each : sessions)
    {
        each->detach();
    }
}

void http_server::accept()
{
    acceptor_.async_accept(
        [this, alive = std::weak_ptr<char>(alive_)](
            error_code failed, tcp::socket socket)
        {
            if (alive.expired() || draining_)
            {
                return;
            }
            if (failed)
            {
                // With no descriptor left the next try would fail at once.
                if (sessions_.size() > settings_.connections / 2)
                {
                    make_room(connection_limit::places);
                }
                accept_later();
                return;
            }
            add_session(std::move(socket));
            accept();
        });
}

void http_server::accept_later()
{
    accept_timer_.expires_after(accept_retry_delay);
    accept_timer_.async_wait(
        [this, alive = std::weak_ptr<char>(alive_)](error_code stopped)
        {
            if (!stopped && !alive.expired() && !draining_)
            {
                accept();
            }
        });
}

void http_server::add_session(tcp::socket socket)
{
    if (sessions_.size() >= settings_.connections &&
        !make_room(connection_limit::places))
    {
        return; // Every connection has a request in hand.
    }
    error_code ignored; // Without this option only latency suffers.
    socket.set_option(tcp::no_delay(true), ignored);
    auto created = std::make_shared<session>(*this, std::move(socket));
    sessions_.insert(created);
    created->read();
}

bool http_server::make_room(connection_limit reason)
{
    const auto is_writing = [](const session& each)
    { return each.present() == session::phase::writing; };
    std::shared_ptr<session> chosen;
    for (const std::shared_ptr<session>& each : sessions_)
    {
        if (each->present() == session::phase::handling ||
            (reason == connection_limit::memory && each->held() == 0))
        {
            continue;
        }
        if (chosen == nullptr ||
            std::pair(is_writing(*each), each->last_activity()) <
                std::pair(is_writing(*chosen), chosen->last_activity()))
        {
            chosen = each;
        }
    }
    if (chosen == nullptr)
    {
        return false;
    }
    report(reason);
    chosen->close();
    return true;
}

bool http_server::fit_memory()
{
    while (held_bytes_ > settings_.memory_limit)
    {
        if (!make_room(connection_limit::memory))
        {
            return false;
        }
    }
    return true;
}

void http_server::look()
{
    std::vector<std::shared_ptr<session>> late;
    for (const std::shared_ptr<session>& each : sessions_)
    {
        if (!each->is_in_time())
        {
            late.push_back(each);
        }
    }
    for (const std::shared_ptr<session>& each : late)
    {
        report(connection_limit::duration);
        each->close();
    }
    look_timer_.expires_after(settings_.look_interval);
    look_timer_.async_wait(
        [this, alive = std::weak_ptr<char>(alive_)](error_code stopped)
        {
            if (!stopped && !alive.expired())
            {
                look();
            }
        });
}

void http_server::report(connection_limit limit)
{
    if (settings_.on_limit)
    {
        settings_.on_limit(limit);
    }
}

void http_server::drain()
{
    draining_ = true;
    error_code ignored; // The acceptor is not used again.
    acceptor_.close(ignored);
}

} // namespace acaciastile::net
