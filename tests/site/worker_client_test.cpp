#include "net/http_server.hpp"
#include "platform/worker_client.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

using namespace acaciastile;
using namespace std::chrono_literals;

namespace
{

net::http_response reply(unsigned status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.body() = std::move(body);
    return response;
}

/// A worker client and an HTTP server on loopback in the place of a worker. It
/// answers status polls as the present incarnation `born`, and other calls with
/// `answer`.
struct fixture
{
    boost::asio::io_context loop;
    net::timer_service timers{loop};
    net::http_client http{loop, timers};
    net::endpoint address{"127.0.0.1", 17'932};
    std::uint64_t born = 1;
    std::function<void(net::http_responder)> answer =
        [](const net::http_responder& respond)
    { respond(reply(200, R"({"clockMs":5})")); };
    std::function<void(net::http_responder)> answer_poll =
        [this](const net::http_responder& respond)
    {
        respond(reply(
            200,
            R"({"clockMs":5,"running":[],"finished":[],"born":)" +
                std::to_string(born) + "}"));
    };
    std::vector<std::string> starts; ///< Bodies of the start orders received.
    std::vector<std::string> polls;  ///< The same of status polls.
    std::unique_ptr<net::http_server> server;
    site::worker_client workers;

    explicit fixture(site::worker_timeouts timeouts = {10s, 10s})
        : workers(http, timeouts)
    {
        listen();
    }

    void listen()
    {
        server.reset();
        auto made = net::http_server::create(
            loop,
            address,
            {},
            [this](
                const net::http_request& request, net::http_responder respond)
            {
                const bool is_poll = request.target() == "/-/hold";
                (is_poll ? polls : starts).push_back(request.body());
                (is_poll ? answer_poll : answer)(std::move(respond));
            });
        REQUIRE(made.has_value());
        server = *std::move(made);
    }

    /// Another process takes the worker's place.
    void restart()
    {
        ++born;
        listen();
    }

    [[nodiscard]] static fleet::start_order plain_order()
    {
        fleet::start_order order;
        order.task = {{job_id("a"), 0, 0}, 0};
        order.run = 1;
        return order;
    }

    result<fleet::start_answer> start(
        const fleet::start_order& order = plain_order(),
        std::uint64_t token = 7,
        worker_instant lease = worker_instant(5s))
    {
        std::optional<result<fleet::start_answer>> outcome;
        workers.start(
            {worker_id("w0"), address.str(), 1},
            token,
            lease,
            order,
            [&](result<fleet::start_answer> told)
            { outcome = std::move(told); });
        while (!outcome)
        {
            loop.run_one();
        }
        return *std::move(outcome);
    }

    result<fleet::worker_status>
    poll(std::uint64_t acknowledged, std::optional<worker_instant> lease)
    {
        std::optional<result<fleet::worker_status>> outcome;
        workers.hold(
            {worker_id("w0"), address.str(), 1},
            7,
            acknowledged,
            lease,
            0ms,
            [&](result<fleet::worker_status> told)
            { outcome = std::move(told); });
        while (!outcome)
        {
            loop.run_one();
        }
        return *std::move(outcome);
    }

    /// True if a status poll that arrived has this text in its body.
    [[nodiscard]] bool polled_with(std::string_view text) const
    {
        return std::any_of(
            polls.begin(),
            polls.end(),
            [&](const std::string& body)
            { return body.find(text) != std::string::npos; });
    }
};

} // namespace

// Guards against a refusal that is taken for that of every copy of an order.
TEST_CASE("the answer to a start tells of an unanswered copy", "[site]")
{
    fixture at;
    at.answer = [](const net::http_responder& respond)
    { respond(reply(200, R"({"clockMs":5})")); };
    const auto accepted = at.start();
    REQUIRE(accepted.has_value());
    CHECK_FALSE(accepted->unanswered_copy);
    std::vector<net::http_responder> held;
    at.answer = [&](net::http_responder respond)
    {
        if (!held.empty())
        {
            respond(reply(409, R"({"clockMs":6,"reason":"room"})"));
            return;
        }
        held.push_back(std::move(respond));
        boost::asio::post(at.loop, [&] { at.listen(); });
    };
    const auto refused = at.start();
    REQUIRE(refused.has_value());
    CHECK(refused->refusal == fleet::start_refusal::no_room);
    CHECK(refused->unanswered_copy);
}

// Guards against a worker over its capacity and a task that runs twice: an
// order was repeated on a new connection after a pooled one had broken, and
// reached the process that had taken the worker's place.
TEST_CASE(
    "a repeated start order reaches no later life of its worker", "[site]")
{
    fixture at;
    REQUIRE(at.start().has_value());
    REQUIRE(at.starts.size() == 1);
    at.restart();
    const auto refused = at.start();
    REQUIRE(refused.has_value());
    CHECK(refused->refusal == fleet::start_refusal::other_incarnation);
    CHECK(refused->unanswered_copy);
    CHECK(at.starts.size() == 1);
}

// As above, for an order that is the first on its connection.
TEST_CASE(
    "a start order on a new connection reaches no later life of its worker",
    "[site]")
{
    fixture at;
    at.restart();
    const auto refused = at.start();
    REQUIRE(refused.has_value());
    CHECK(refused->refusal == fleet::start_refusal::other_incarnation);
    CHECK_FALSE(refused->unanswered_copy);
    CHECK(at.starts.empty());
}

// Guards against a task that runs twice: the lease was on the clock of the
// worker's earlier life and lasted longer in the later one.
TEST_CASE("a lease reaches no later life of its worker", "[site]")
{
    const bool had_connection = GENERATE(false, true);
    CAPTURE(had_connection);
    fixture at;
    if (had_connection)
    {
        REQUIRE(at.poll(0, worker_instant(3s)).has_value());
        REQUIRE(at.polled_with("\"expiresMs\":3000"));
    }
    at.restart();
    const auto refused = at.poll(0, worker_instant(5s));
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::unknown_worker);
    CHECK(refused.error().effect == verdict::not_run);
    CHECK_FALSE(at.polled_with("\"expiresMs\":5000"));
}

// Guards against a task that runs twice: the later life dropped ends up to a
// number that the earlier one had reached, and nobody had seen them.
TEST_CASE(
    "an acknowledged number reaches no later life of its worker", "[site]")
{
    const bool had_connection = GENERATE(false, true);
    CAPTURE(had_connection);
    fixture at;
    if (had_connection)
    {
        REQUIRE(at.poll(2, {}).has_value());
        REQUIRE(at.polled_with("\"lastSeen\":2"));
    }
    at.restart();
    const auto refused = at.poll(3, {});
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::unknown_worker);
    CHECK_FALSE(at.polled_with("\"lastSeen\":3"));
}

// Guards against a worker that is never heard of again after its restart.
TEST_CASE("a plain status poll is answered by a later life", "[site]")
{
    fixture at;
    REQUIRE(at.start().has_value());
    at.restart();
    const auto status = at.poll(0, {});
    REQUIRE(status.has_value());
    CHECK(status->incarnation == 2);
}

// Guards against the price of additional calls: an introduction is needed only
// on a connection on which the worker has not told its incarnation.
TEST_CASE("an order after a status poll needs no introduction", "[site]")
{
    fixture at;
    REQUIRE(at.poll(0, {}).has_value());
    REQUIRE(at.start().has_value());
    REQUIRE(at.poll(1, worker_instant(3s)).has_value());
    CHECK(at.polls.size() == 2);
    CHECK(at.starts.size() == 1);
    CHECK(at.http.counts().connects == 1);
}

// Guards against an owner that does not learn of its successor: the refusal of
// an introduction is that of the call.
TEST_CASE("a worker that knows a later owner refuses before the call", "[site]")
{
    fixture at;
    at.answer_poll = [](const net::http_responder& respond)
    { respond(reply(409, R"({"clockMs":6,"reason":"fence"})")); };
    const auto refused = at.start();
    REQUIRE(refused.has_value());
    CHECK(refused->refusal == fleet::start_refusal::fenced);
    CHECK(refused->clock == worker_instant(6ms));
    CHECK(at.starts.empty());
    const auto poll = at.poll(0, worker_instant(5s));
    REQUIRE_FALSE(poll.has_value());
    CHECK(poll.error().code == refusal_code::stale_epoch);
    CHECK_FALSE(at.polled_with("expiresMs"));
}

// Guards against a task that waits although nothing of it was sent.
TEST_CASE("a start whose worker does not say who it is did not run", "[site]")
{
    fixture at({100ms, 100ms});
    std::vector<net::http_responder> held;
    const bool answers = GENERATE(false, true);
    CAPTURE(answers);
    at.answer_poll = [&](net::http_responder respond)
    {
        if (answers)
        {
            respond(reply(200, R"({"clockMs":5})"));
            return;
        }
        held.push_back(std::move(respond));
    };
    const auto unanswered = at.start();
    REQUIRE_FALSE(unanswered.has_value());
    CHECK(
        unanswered.error().code == (answers ? refusal_code::unreachable
                                            : refusal_code::deadline_exceeded));
    CHECK(unanswered.error().effect == verdict::not_run);
    CHECK(at.starts.empty());
}

// Guards against a job that never starts: the first start order of a process
// whose payload was empty was no JSON, and each worker rejected it (review/1).
TEST_CASE("each start order of a process is JSON with its fields", "[site]")
{
    using nlohmann::json;
    const std::string large(4'000, '"');
    const std::string odd = "\"\\\n\x01\u00fc{}";
    const auto fields = GENERATE_COPY(
        std::vector<std::string>{"", "", ""},
        std::vector<std::string>{odd, odd, odd},
        std::vector<std::string>{large, large, large});
    const bool is_largest = GENERATE(false, true);
    CAPTURE(fields, is_largest);
    fleet::start_order order = fixture::plain_order();
    order.payload = fields[0];
    order.checkpoint = fields[1];
    order.permit = fields[2];
    std::uint64_t token = 0;
    worker_instant lease{};
    if (is_largest)
    {
        constexpr auto most = std::numeric_limits<std::uint32_t>::max();
        order.task = {{job_id("ffffffffffffffff"), most, most}, most};
        order.run = std::numeric_limits<fleet::run_number>::max();
        token = std::numeric_limits<std::uint64_t>::max();
        lease = worker_instant::max();
    }
    fixture at;
    // The second order has the payload of the first, the third another one.
    for (const std::string& payload :
         {order.payload, order.payload, std::string("other"), order.payload})
    {
        order.payload = payload;
        REQUIRE(at.start(order, token, lease).has_value());
        INFO(at.starts.back());
        const json sent = json::parse(at.starts.back(), nullptr, false);
        REQUIRE(sent.is_object());
        CHECK(sent.at("taskSpec") == payload);
        CHECK(sent.at("runId") == order.run);
        CHECK(sent.at("fenceToken") == token);
        CHECK(sent.at("expiresMs") == lease.time_since_epoch().count());
        CHECK(sent.value("checkpoint", "") == order.checkpoint);
        CHECK(sent.value("ticket", "") == order.permit);
    }
}

// Guards against a process that ends by an exception: an answer had a field of
// another type than the interface says.
TEST_CASE("a refusal with odd fields is an answer", "[site]")
{
    const std::string deep =
        std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& body :
         {std::string(R"({"clockMs":"x","reason":7})"),
          std::string(R"({"clockMs":1e300,"reason":[]})"),
          std::string(R"({"reason":{"a":1}})"),
          "{\"reason\":" + deep + "}",
          deep,
          std::string("\xff")})
    {
        INFO(body.substr(0, 40));
        fixture at;
        at.answer = [&](const net::http_responder& respond)
        { respond(reply(409, body)); };
        const auto refused = at.start();
        REQUIRE(refused.has_value());
        CHECK(refused->refusal == fleet::start_refusal::unhealthy);
        CHECK_FALSE(refused->clock.has_value());
    }
}

// As above, for the answers of the policy service.
TEST_CASE(
    "an answer of the policy service with odd fields ends nothing", "[site]")
{
    const std::string deep =
        std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& body :
         {std::string(R"({"validMs":"x","allowed":[]})"),
          std::string(R"({"validMs":1e300,"allowed":[["w0","t"]]})"),
          std::string(R"({"validMs":5,"allowed":7})"),
          "{\"validMs\":" + deep + "}",
          deep})
    {
        INFO(body.substr(0, 40));
        fixture at;
        at.answer = [&](const net::http_responder& respond)
        { respond(reply(200, body)); };
        site::policy_client policy(at.http, at.address);
        std::optional<result<fleet::permits>> outcome;
        policy.ask(
            {job_id("a"), 0, 0},
            {worker_id("w0")},
            10s,
            [&](result<fleet::permits> told) { outcome = std::move(told); });
        while (!outcome)
        {
            at.loop.run_one();
        }
        CHECK_FALSE(outcome->has_value());
    }
}
