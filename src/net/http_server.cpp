#include "net/http_server.hpp"

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

/// One accepted connection.
class http_server::session
    : public std::enable_shared_from_this<http_server::session>
{
public:
    session(http_server& owner, tcp::socket socket)
        : owner_(&owner), socket_(std::move(socket))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->header_limit(owner_->settings_.header_limit);
        parser_->body_limit(owner_->settings_.body_limit);
        http::async_read(
            socket_,
            buffer_,
            *parser_,
            [self = shared_from_this()](error_code failed, std::size_t)
            { self->on_request(failed); });
    }

    void close()
    {
        error_code ignored; // The peer may have closed the socket already.
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
        if (owner_ != nullptr)
        {
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

    [[nodiscard]] bool busy() const noexcept { return busy_; }

private:
    void on_request(error_code failed)
    {
        if (owner_ == nullptr)
        {
            return;
        }
        if (failed == http::error::body_limit)
        {
            reject_large_body();
            return;
        }
        if (failed)
        {
            close();
            return;
        }
        busy_ = true;
        ++owner_->active_requests_;
        http_request request = parser_->release();
        const unsigned version = request.version();
        const bool keep = request.keep_alive();
        owner_->handler_(
            std::move(request),
            [self = shared_from_this(), version, keep](http_response response)
            { self->send_response(std::move(response), version, keep); });
    }

    void reject_large_body()
    {
        busy_ = true;
        ++owner_->active_requests_;
        http_response refused;
        refused.result(http::status::payload_too_large);
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
        busy_ = false;
        --owner_->active_requests_;
        if (failed || !response_.keep_alive())
        {
            close();
            return;
        }
        read();
    }

    http_server* owner_; ///< Null after the server was destroyed.
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http_response response_;
    bool busy_ = false;
};

result<std::unique_ptr<http_server>> http_server::create(
    boost::asio::io_context& loop,
    const endpoint& address,
    http_server_settings settings,
    http_handler handler)
{
    std::unique_ptr<http_server> created(
        new http_server(loop, settings, std::move(handler)));
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
    return created;
}

http_server::http_server(
    boost::asio::io_context& loop,
    http_server_settings settings,
    http_handler handler)
    : acceptor_(loop), settings_(settings), handler_(std::move(handler))
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
        [this](error_code failed, tcp::socket socket)
        {
            if (failed == boost::asio::error::operation_aborted)
            {
                return; // The server is draining or destroyed.
            }
            if (!failed && sessions_.size() < settings_.connections)
            {
                error_code ignored; // Without this option only latency suffers.
                socket.set_option(tcp::no_delay(true), ignored);
                auto created =
                    std::make_shared<session>(*this, std::move(socket));
                sessions_.insert(created);
                created->read();
            }
            accept();
        });
}

void http_server::drain()
{
    draining_ = true;
    error_code ignored; // The acceptor is not used again.
    acceptor_.close(ignored);
}

} // namespace acaciastile::net
