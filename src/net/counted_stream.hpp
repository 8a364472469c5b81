#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <functional>
#include <utility>

namespace acaciastile::net
{

/// Reads from a socket up to a number of bytes. Beast's parser bounds only what
/// it has not parsed yet of a header: one of many short lines would be taken
/// without end.
class counted_stream
{
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit counted_stream(boost::asio::ip::tcp::socket& socket)
        : socket_(socket)
    {
    }

    /// Counts from zero again; reads fail with `header_limit` once `limit`
    /// bytes have been read.
    void restart(std::uint64_t limit)
    {
        received_ = 0;
        limit_ = limit;
    }
    void set_limit(std::uint64_t limit) { limit_ = limit; }
    [[nodiscard]] std::uint64_t received() const noexcept { return received_; }

    /// Called after each read; may be empty.
    std::function<void()> on_bytes;

    executor_type get_executor() { return socket_.get_executor(); }

    template<class Buffers, class Handler>
    void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        if (received_ >= limit_)
        {
            boost::asio::post(
                get_executor(),
                [done = std::forward<Handler>(handler)]() mutable
                {
                    done(
                        boost::system::error_code(
                            boost::beast::http::error::header_limit),
                        std::size_t{0});
                });
            return;
        }
        socket_.async_read_some(
            buffers,
            [this, done = std::forward<Handler>(handler)](
                boost::system::error_code failed, std::size_t bytes) mutable
            {
                received_ += bytes;
                if (on_bytes)
                {
                    on_bytes();
                }
                done(failed, bytes);
            });
    }

private:
    boost::asio::ip::tcp::socket& socket_;
    std::uint64_t received_ = 0;
    std::uint64_t limit_ = 0;
};

} // namespace acaciastile::net
