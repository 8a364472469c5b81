#include "net/http_server.hpp"
#include "support/raw_client.hpp"

#include <absl/strings/str_cat.h>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace acaciastile;
using namespace acaciastile::net;
using namespace acaciastile::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint16_t port = 17'937;
constexpr milliseconds patience{5'000};

/// A server with a thread of its own that echoes the body of each request.
class echo_server
{
public:
    explicit echo_server(
        http_server_settings settings = {}, http_handler handler = echo)
    {
        settings.on_limit = [this](connection_limit reached)
        { ++reached_[static_cast<std::size_t>(reached)]; };
        auto made = http_server::create(
            loop_,
            {"127.0.0.1", port},
            std::move(settings),
            std::move(handler));
        REQUIRE(made.has_value());
        server_ = *std::move(made);
        thread_ = std::thread([this] { loop_.run(); });
    }
    ~echo_server()
    {
        loop_.stop();
        thread_.join();
    }
    echo_server(const echo_server&) = delete;
    echo_server& operator=(const echo_server&) = delete;

    [[nodiscard]] int count(connection_limit limit) const
    {
        return reached_[static_cast<std::size_t>(limit)];
    }
    boost::asio::io_context& loop() { return loop_; }

    static void echo(const http_request& request, const http_responder& respond)
    {
        http_response response;
        response.body() = request.body();
        respond(std::move(response));
    }

private:
    boost::asio::io_context loop_;
    std::array<std::atomic<int>, connection_limit_kinds> reached_{};
    std::unique_ptr<http_server> server_;
    std::thread thread_;
};

constexpr const char* post = "POST / HTTP/1.1\r\nHost: h\r\n";

std::string post_of(std::size_t bytes)
{
    return absl::StrCat(
        post, "Content-Length: ", bytes, "\r\n\r\n", std::string(bytes, 'x'));
}

/// The status and the body of the next answer.
std::pair<std::string, std::string> receive(raw_client& client)
{
    const std::string status = client.receive_line(patience);
    std::size_t length = 0;
    for (std::string line = client.receive_line(patience); !line.empty();
         line = client.receive_line(patience))
    {
        constexpr std::string_view name = "Content-Length: ";
        if (line.starts_with(name))
        {
            length = std::stoul(line.substr(name.size()));
        }
    }
    return {
        status.substr(0, std::string_view("HTTP/1.1 200").size()),
        client.receive(length, patience)};
}

} // namespace

TEST_CASE("a body in small chunks with a few trailers is served", "[net]")
{
    constexpr std::size_t body_bytes = 9'600;
    const echo_server server;
    std::string sent = absl::StrCat(post, "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t n = 0; n < body_bytes; ++n)
    {
        sent += "1;name=value\r\nx\r\n";
    }
    sent += "0\r\nOne: 1\r\nTwo: 2\r\nThree: 3\r\n\r\n";
    raw_client client(port);
    REQUIRE(client.send_all(sent, patience));
    const auto [status, body] = receive(client);
    CHECK(status == "HTTP/1.1 200");
    CHECK(body == std::string(body_bytes, 'x'));
}

TEST_CASE("slow requests on a kept connection are served", "[net]")
{
    constexpr std::size_t body_bytes = 4'000;
    constexpr std::size_t piece = 200;
    const echo_server server;
    raw_client client(port);
    const std::string sent = post_of(body_bytes);
    for (int request = 0; request < 2; ++request)
    {
        for (std::size_t at = 0; at < sent.size(); at += piece)
        {
            REQUIRE(client.send_all(sent.substr(at, piece), patience));
            std::this_thread::sleep_for(5ms);
        }
        CHECK(receive(client).second.size() == body_bytes);
        std::this_thread::sleep_for(100ms);
    }
}

// Guards against clients that stand still and keep others out.
TEST_CASE("a full server makes room for a new client", "[net]")
{
    http_server_settings settings;
    settings.connections = 4;
    const echo_server server(settings);
    std::vector<raw_client> still;
    for (int n = 0; n < 8; ++n)
    {
        still.emplace_back(port);
        REQUIRE(still.back().send_all("POST / HT", patience));
    }
    raw_client client(port);
    REQUIRE(client.send_all(post_of(10), patience));
    CHECK(receive(client).first == "HTTP/1.1 200");
    CHECK(server.count(connection_limit::places) >= 1);
}

// Guards against a request that was read and never answered, as its connection
// was closed to make room.
TEST_CASE("a request in hand is not closed to make room", "[net]")
{
    http_server_settings settings;
    settings.connections = 2;
    std::vector<http_responder> held;
    std::promise<void> all_held;
    echo_server server(
        settings,
        [&](const http_request&, http_responder respond)
        {
            held.push_back(std::move(respond));
            if (held.size() == 2)
            {
                all_held.set_value();
            }
        });
    std::array<raw_client, 2> waiting{raw_client(port), raw_client(port)};
    for (raw_client& each : waiting)
    {
        REQUIRE(each.send_all(post_of(10), patience));
    }
    REQUIRE(
        all_held.get_future().wait_for(patience) == std::future_status::ready);
    raw_client late(port);
    static_cast<void>(late.send_all(post_of(10), patience));
    CHECK(late.receive_line(patience).empty());
    boost::asio::post(
        server.loop(),
        [&]
        {
            for (const http_responder& respond : held)
            {
                respond({});
            }
        });
    for (raw_client& each : waiting)
    {
        CHECK(receive(each).first == "HTTP/1.1 200");
    }
}

// Guards against requests in hand that use up the memory of the process.
TEST_CASE("requests beyond the memory of a server are turned away", "[net]")
{
    constexpr std::size_t crowd = 8;
    http_server_settings settings;
    settings.memory_limit = 100'000;
    std::vector<http_responder> held;
    std::atomic<std::size_t> handled = 0;
    echo_server server(
        settings,
        [&](const http_request& request, http_responder respond)
        {
            if (request.body().size() < 1'000)
            {
                respond({});
                return;
            }
            held.push_back(std::move(respond));
            ++handled;
        });
    std::vector<raw_client> clients;
    for (std::size_t n = 0; n < crowd; ++n)
    {
        clients.emplace_back(port);
        static_cast<void>(clients.back().send_all(post_of(40'000), patience));
        const auto turned_away = [&] {
            return static_cast<std::size_t>(
                server.count(connection_limit::memory));
        };
        while (handled + turned_away() < n + 1)
        {
            std::this_thread::sleep_for(1ms);
        }
    }
    CHECK(handled >= 1);
    CHECK(handled * 40'000 <= settings.memory_limit);
    raw_client small(port);
    REQUIRE(small.send_all(post_of(10), patience));
    CHECK(receive(small).first == "HTTP/1.1 200");
    boost::asio::post(
        server.loop(),
        [&]
        {
            for (const http_responder& respond : held)
            {
                respond({});
            }
        });
    CHECK(receive(clients.front()).first == "HTTP/1.1 200");
}

TEST_CASE("a message that is mostly framing is refused", "[net]")
{
    http_server_settings settings;
    settings.message_limit = 100'000;
    const echo_server server(settings);
    raw_client client(port);
    REQUIRE(client.send_all(
        absl::StrCat(post, "Transfer-Encoding: chunked\r\n\r\n"), patience));
    const std::string chunk =
        absl::StrCat("1;name=", std::string(10'000, 'v'), "\r\nx\r\n");
    constexpr int most = 1'000;
    for (int sent = 0; sent < most && client.send_all(chunk, patience); ++sent)
    {
    }
    const std::string answer = client.receive_line(patience);
    INFO("answer: " << answer);
    CHECK(server.count(connection_limit::size) == 1);
}

// Guards against connections that stay open for good with half a request.
TEST_CASE("a request that takes too long is closed", "[net]")
{
    http_server_settings settings;
    settings.message_time = 100ms;
    settings.look_interval = 20ms;
    const echo_server server(settings);
    raw_client client(port);
    REQUIRE(client.send_all("POST / HTTP/1.1\r\nHost: h\r\n", patience));
    CHECK(client.receive_line(patience).empty());
    CHECK(server.count(connection_limit::duration) == 1);
}

// Guards against clients that are cut off for a pause of the server's process.
TEST_CASE("a server that stood still closes no connection for that", "[net]")
{
    http_server_settings settings;
    settings.message_time = 200ms;
    settings.look_interval = 50ms;
    echo_server server(settings);
    raw_client client(port);
    const std::string sent = post_of(10);
    REQUIRE(client.send_all(sent.substr(0, 20), patience));
    boost::asio::post(
        server.loop(), [] { std::this_thread::sleep_for(600ms); });
    REQUIRE(client.send_all(sent.substr(20), patience));
    CHECK(receive(client).first == "HTTP/1.1 200");
    CHECK(server.count(connection_limit::duration) == 0);
}
