#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

using namespace acaciastile;
using namespace acaciastile::net;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace
{

struct fixture
{
    boost::asio::io_context loop;
    timer_service timers{loop};
    http_client client{loop, timers};
    endpoint address{"127.0.0.1", 17'933};
    http_handler handler =
        [](const http_request& request, const http_responder& respond)
    {
        http_response response;
        response.body() = request.body();
        respond(response);
    };
    std::unique_ptr<http_server> server;

    void listen()
    {
        auto made = http_server::create(
            loop,
            address,
            {16U << 10U, 1'000, 100},
            [this](http_request request, http_responder respond)
            { handler(std::move(request), std::move(respond)); });
        REQUIRE(made.has_value());
        server = *std::move(made);
    }

    http_outcome
    call(std::string body, milliseconds timeout = 500ms, bool repeatable = true)
    {
        std::optional<http_outcome> outcome;
        http_request request{http::verb::post, "/", 11};
        request.body() = std::move(body);
        client.call(
            address,
            request,
            timeout,
            repeatable,
            [&](http_outcome told) { outcome = std::move(told); });
        while (!outcome)
        {
            loop.run_one();
        }
        return *std::move(outcome);
    }
};

} // namespace

TEST_CASE("calls reuse a keep-alive connection", "[net]")
{
    fixture at;
    at.listen();
    for (int n = 0; n < 5; ++n)
    {
        const http_outcome outcome = at.call("x" + std::to_string(n));
        REQUIRE(outcome.answered());
        CHECK(outcome.response.body() == "x" + std::to_string(n));
    }
    CHECK(at.client.counts().connects == 1);
}

// Guards against a large answer that does not arrive in time in a busy process:
// it was read in pieces of 512 bytes, one in each turn of the event loop.
TEST_CASE("a large answer is read in large pieces", "[net]")
{
    constexpr std::size_t body_bytes = 1U << 20U;
    constexpr std::size_t least_piece = 4U << 10U;
    fixture at;
    at.handler = [](const http_request&, const http_responder& respond)
    {
        http_response response;
        response.body() = std::string(body_bytes, 'x');
        respond(std::move(response));
    };
    at.listen();
    std::optional<http_outcome> outcome;
    at.client.call(
        at.address,
        {http::verb::get, "/", 11},
        5s,
        true,
        [&](http_outcome told) { outcome = std::move(told); });
    std::size_t turns = 0;
    while (!outcome)
    {
        turns += at.loop.run_one();
    }
    REQUIRE(outcome->answered());
    CHECK(outcome->response.body().size() == body_bytes);
    CHECK(turns <= body_bytes / least_piece);
}

TEST_CASE("a refused connection means that the call did not run", "[net]")
{
    fixture at;
    const http_outcome outcome = at.call("x");
    CHECK(outcome.effect == verdict::not_run);
    CHECK_FALSE(outcome.timed_out);
}

TEST_CASE(
    "a call that times out may have run, and later calls succeed", "[net]")
{
    fixture at;
    at.listen();
    REQUIRE(at.call("warm").answered());
    std::vector<http_responder> held;
    at.handler = [&](const http_request&, http_responder respond)
    { held.push_back(std::move(respond)); };
    const http_outcome lost = at.call("x", 50ms);
    CHECK(lost.effect == verdict::may_have_run);
    CHECK(lost.timed_out);
    at.handler = [](const http_request&, const http_responder& respond)
    { respond({}); };
    CHECK(at.call("y").answered());
    CHECK(at.client.counts().connects == 2); // The first connection was closed.
}

TEST_CASE("a pooled connection that the peer closed is replaced", "[net]")
{
    fixture at;
    at.listen();
    at.handler = [](const http_request&, const http_responder& respond)
    { respond({}); };
    REQUIRE(at.call("x").answered());
    at.server.reset();
    at.loop.poll();
    at.listen();
    CHECK(at.call("y").answered());
}

// Guards against a refusal that is taken for that of every copy: the client
// sent a request again after a pooled connection broke and did not say so.
TEST_CASE("an outcome tells of an earlier copy without a response", "[net]")
{
    fixture at;
    at.listen();
    const http_outcome first = at.call("warm");
    REQUIRE(first.answered());
    CHECK_FALSE(first.unanswered_copy);
    std::size_t copies = 0;
    http_responder never;
    at.handler = [&](const http_request&, http_responder respond)
    {
        ++copies;
        if (copies == 1)
        {
            never = std::move(respond);
            boost::asio::post(
                at.loop,
                [&]
                {
                    at.server.reset();
                    at.listen();
                });
            return;
        }
        http_response refusal;
        refusal.result(http::status::conflict);
        respond(refusal);
    };
    const http_outcome outcome = at.call("order", 10s);
    CHECK(copies == 2);
    CHECK(outcome.status() == 409);
    CHECK(outcome.unanswered_copy);
    CHECK_FALSE(at.call("next").unanswered_copy);
}

// As above, for a copy that was sent last and got no response either.
TEST_CASE("a timeout tells of an earlier copy without a response", "[net]")
{
    fixture at;
    at.listen();
    REQUIRE(at.call("warm").answered());
    std::vector<http_responder> held;
    at.handler = [&](const http_request&, http_responder respond)
    {
        held.push_back(std::move(respond));
        if (held.size() == 1)
        {
            boost::asio::post(
                at.loop,
                [&]
                {
                    at.server.reset();
                    at.listen();
                });
        }
    };
    const http_outcome outcome = at.call("order", 2s);
    CHECK(held.size() == 2);
    CHECK(outcome.timed_out);
    CHECK(outcome.effect == verdict::may_have_run);
    CHECK(outcome.unanswered_copy);
}

namespace
{

/// A server that tells its identity in answer to `hello`, and a client whose
/// requests are meant for one identity.
struct peer_fixture : fixture
{
    std::uint64_t identity = 1;
    std::vector<std::string> received; ///< Bodies, with those of `hello`.

    peer_fixture()
    {
        handler = [this](const http_request& request, http_responder respond)
        {
            received.push_back(request.body());
            answer(request, std::move(respond));
        };
        listen();
    }

    http_handler answer =
        [this](const http_request& request, const http_responder& respond)
    {
        http_response response;
        response.body() =
            request.body() == "hello" ? std::to_string(identity) : "done";
        respond(response);
    };

    /// Another process takes the server's place.
    void restart()
    {
        ++identity;
        server.reset();
        listen();
    }

    http_outcome call_to(
        std::uint64_t required,
        std::string body,
        milliseconds timeout = 2s,
        bool always_introduce = false)
    {
        std::optional<http_outcome> outcome;
        http_request request{http::verb::post, "/", 11};
        request.body() = std::move(body);
        peer_check check;
        check.required = required;
        check.always_introduce = always_introduce;
        check.introduction = []
        {
            http_request hello{http::verb::post, "/", 11};
            hello.body() = "hello";
            return hello;
        };
        const auto read = [](const http_response& response) -> std::uint64_t
        {
            return response.body() == "done" || response.body().empty()
                       ? 0
                       : std::stoull(response.body());
        };
        check.introduction_identity = read;
        check.response_identity = read;
        constexpr bool repeatable = true;
        client.call(
            address,
            request,
            timeout,
            repeatable,
            [&](http_outcome told) { outcome = std::move(told); },
            std::move(check));
        while (!outcome)
        {
            loop.run_one();
        }
        return *std::move(outcome);
    }
};

using bodies = std::vector<std::string>;

} // namespace

// Guards against an order that reaches a process which it was not meant for.
TEST_CASE("a request is sent only to the process that it requires", "[net]")
{
    peer_fixture at;
    const http_outcome refused = at.call_to(7, "order");
    CHECK(refused.other_peer);
    CHECK(refused.effect == verdict::not_run);
    CHECK_FALSE(refused.unanswered_copy);
    CHECK(at.received == bodies{"hello"});
    // The answer told who the process is.
    CHECK(at.call_to(1, "order").response.body() == "done");
    CHECK(at.received == bodies{"hello", "order"});
    CHECK(at.client.counts().connects == 1);
}

// As above: a copy that is sent again after a pooled connection broke.
TEST_CASE("a repeated request reaches no later process", "[net]")
{
    peer_fixture at;
    REQUIRE(at.call_to(1, "first").answered());
    at.restart();
    const http_outcome refused = at.call_to(1, "order");
    CHECK(refused.other_peer);
    CHECK(refused.unanswered_copy);
    CHECK(refused.effect == verdict::may_have_run);
    CHECK(at.received == bodies{"hello", "first", "hello"});
    // Without the restart of the process the copy is sent.
    REQUIRE(at.call_to(2, "second").answered());
    at.server.reset();
    at.listen();
    const http_outcome repeated = at.call_to(2, "third");
    CHECK(repeated.answered());
    CHECK(repeated.unanswered_copy);
    CHECK(
        at.received ==
        bodies{"hello", "first", "hello", "second", "hello", "third"});
}

// Guards against the price of calls that are not needed.
TEST_CASE("a response to any request may tell the process", "[net]")
{
    peer_fixture at;
    REQUIRE(at.call_to(0, "hello").answered());
    REQUIRE(at.call_to(1, "order").answered());
    REQUIRE(at.call_to(1, "order").answered());
    CHECK(at.received == bodies{"hello", "order", "order"});
    CHECK(at.client.counts().introductions == 0);
    CHECK(at.client.counts().connects == 1);
}

// Guards against an order that a process is blamed for although the one at the
// other end had ended before: the call has to find it alive.
TEST_CASE("a call may require an answer just before it", "[net]")
{
    peer_fixture at;
    REQUIRE(at.call_to(1, "order").answered());
    REQUIRE(at.call_to(1, "trial", 2s, true).answered());
    CHECK(at.received == bodies{"hello", "order", "hello", "trial"});
    CHECK(at.client.counts().connects == 1);
    at.server.reset();
    const http_outcome outcome = at.call_to(1, "trial", 2s, true);
    CHECK_FALSE(outcome.answered());
    CHECK(outcome.effect == verdict::not_run);
    CHECK_FALSE(outcome.unanswered_copy);
}

// Guards against connections to an earlier process that are kept.
TEST_CASE("an idle connection to another process is closed", "[net]")
{
    peer_fixture at;
    REQUIRE(at.call_to(1, "order").answered());
    at.identity = 2; // As if the connection led to an earlier process.
    CHECK(at.call_to(2, "order").answered());
    CHECK(at.client.counts().connects == 2);
    CHECK(at.received == bodies{"hello", "order", "hello", "order"});
}

// Guards against a call that fails as the peer closed an idle connection on
// which nobody had told the identity.
TEST_CASE("an introduction is sent again on a new connection", "[net]")
{
    peer_fixture at;
    REQUIRE(at.call_to(0, "plain").answered());
    at.server.reset();
    at.listen();
    const http_outcome outcome = at.call_to(1, "order");
    CHECK(outcome.answered());
    CHECK_FALSE(outcome.unanswered_copy);
    CHECK(at.client.counts().introductions == 2);
    CHECK(at.received == bodies{"plain", "hello", "order"});
}

// Guards against a refusal that does not reach the caller.
TEST_CASE("a refused introduction is the outcome of the call", "[net]")
{
    peer_fixture at;
    at.answer = [](const http_request&, const http_responder& respond)
    {
        http_response refusal;
        refusal.result(http::status::conflict);
        refusal.body() = "reason";
        respond(refusal);
    };
    const http_outcome outcome = at.call_to(1, "order");
    CHECK(outcome.introduction_refused);
    CHECK(outcome.response.result_int() == 409);
    CHECK(outcome.response.body() == "reason");
    CHECK(outcome.effect == verdict::not_run);
    CHECK_FALSE(outcome.other_peer);
    CHECK_FALSE(outcome.answered());
    CHECK(at.received == bodies{"hello"});
}

// Guards against orders that fail twice as often on a network that loses calls:
// they waited for the introduction until they timed out.
TEST_CASE("an introduction without a response is sent once more", "[net]")
{
    peer_fixture at;
    std::vector<http_responder> held;
    const auto as_usual = at.answer;
    at.answer = [&](const http_request& request, http_responder respond)
    {
        if (at.received.size() == 1)
        {
            held.push_back(std::move(respond));
            return;
        }
        as_usual(request, std::move(respond));
    };
    const http_outcome outcome = at.call_to(1, "order", 10s);
    CHECK(outcome.answered());
    CHECK_FALSE(outcome.unanswered_copy);
    CHECK(at.received == bodies{"hello", "hello", "order"});
    CHECK(at.client.counts().connects == 2);
}

// Guards against a caller that waits for the effect of a request that was never
// sent, and against one that does not where it was.
TEST_CASE("a timeout tells whether the request itself was sent", "[net]")
{
    peer_fixture at;
    const bool introduced = GENERATE(false, true);
    CAPTURE(introduced);
    std::vector<http_responder> held;
    at.answer = [&](const http_request& request, http_responder respond)
    {
        if (introduced && request.body() == "hello")
        {
            http_response response;
            response.body() = "1";
            respond(response);
            return;
        }
        held.push_back(std::move(respond));
    };
    const http_outcome outcome = at.call_to(1, "order", 100ms);
    CHECK(outcome.timed_out);
    CHECK(held.size() == 1);
    CHECK(
        outcome.effect ==
        (introduced ? verdict::may_have_run : verdict::not_run));
    CHECK_FALSE(outcome.other_peer);
}

TEST_CASE("a request body over the limit is rejected", "[net]")
{
    fixture at;
    at.listen();
    const http_outcome outcome = at.call(std::string(5'000, 'x'), 500ms, false);
    const bool refused = outcome.status() == 413 || !outcome.answered();
    CHECK(refused);
}

TEST_CASE("a draining server completes the requests it has read", "[net]")
{
    fixture at;
    at.listen();
    http_responder held;
    at.handler = [&](const http_request&, http_responder respond)
    { held = std::move(respond); };
    std::optional<http_outcome> outcome;
    at.client.call(
        at.address,
        http_request{http::verb::get, "/", 11},
        1s,
        false,
        [&](http_outcome told) { outcome = std::move(told); });
    while (!held)
    {
        at.loop.run_one();
    }
    CHECK(at.server->active_requests() == 1);
    at.server->drain();
    held({});
    while (!outcome)
    {
        at.loop.run_one();
    }
    CHECK(outcome->answered());
    CHECK_FALSE(outcome->response.keep_alive());
    while (at.server->active_requests() > 0)
    {
        at.loop.run_one();
    }
}

TEST_CASE("timers fire in order and may be cancelled", "[net]")
{
    boost::asio::io_context loop;
    timer_service timers(loop);
    std::string order;
    timers.after(20ms, [&] { order += 'b'; });
    timers.after(5ms, [&] { order += 'a'; });
    const auto dropped = timers.after(10ms, [&] { order += 'x'; });
    timers.cancel(dropped);
    while (order.size() < 2)
    {
        loop.run_one();
    }
    CHECK(order == "ab");
}

// Guards against a process that runs out of memory over an answer: a worker, a
// peer or the store sends trailers without end.
TEST_CASE("an answer with trailers without end fails", "[net]")
{
    constexpr std::size_t most = 64U << 20U;
    // What the sockets of the two sides may hold.
    constexpr std::size_t in_transit = 16U << 20U;
    fixture at;
    boost::asio::ip::tcp::acceptor acceptor(
        at.loop, {boost::asio::ip::make_address("127.0.0.1"), at.address.port});
    std::size_t sent = 0;
    std::thread sender(
        [&]
        {
            boost::asio::ip::tcp::socket socket = acceptor.accept();
            const std::string first =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nx\r\n0\r\nSome-Trailer: ";
            const std::string more(64U << 10U, 'v');
            boost::system::error_code failed;
            boost::asio::write(socket, boost::asio::buffer(first), failed);
            while (!failed && sent < most)
            {
                sent += boost::asio::write(
                    socket, boost::asio::buffer(more), failed);
            }
        });
    const http_outcome outcome = at.call("x", 10s, false);
    sender.join();
    CHECK_FALSE(outcome.answered());
    CHECK(sent <= in_transit);
}

TEST_CASE("a large answer in chunks is read", "[net]")
{
    constexpr int chunks = 200;
    fixture at;
    boost::asio::ip::tcp::acceptor acceptor(
        at.loop, {boost::asio::ip::make_address("127.0.0.1"), at.address.port});
    std::thread sender(
        [&]
        {
            boost::asio::ip::tcp::socket socket = acceptor.accept();
            std::array<char, 1'024> request{};
            socket.read_some(boost::asio::buffer(request));
            std::string answer =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (int n = 0; n < chunks; ++n)
            {
                answer += "400\r\n" + std::string(1'024, 'x') + "\r\n";
            }
            answer += "0\r\nOne: 1\r\n\r\n";
            boost::system::error_code failed;
            boost::asio::write(socket, boost::asio::buffer(answer), failed);
        });
    const http_outcome outcome = at.call("x", 10s, false);
    sender.join();
    REQUIRE(outcome.answered());
    CHECK(outcome.response.body().size() == chunks * 1'024);
}
