#include "platform/http/http_client.hpp"
#include "platform/http/http_peer_gateway.hpp"
#include "platform/http/http_server.hpp"
#include "platform/http/listen_socket.hpp"
#include "platform/waiting_executor.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace acaciastile;

namespace
{

constexpr const char* any_port = "127.0.0.1:0";

std::unique_ptr<http_server>
serve(http_handler handler, http_server_settings settings = {})
{
    settings.address = any_port;
    auto made = http_server::create(
        settings,
        {{"POST", "/v1/peer/:method", "application/msgpack", handler}});
    REQUIRE(made.has_value());
    return std::move(*made);
}

void echo(const http_call& call, const http_answer& answer)
{
    answer({200, call.variables.at("method") + ":" + call.body});
}

/// The address of a port that was free a moment ago.
std::string closed_address()
{
    return impl::listen_socket::create(any_port)->address();
}

/// Keeps the calls of a server without an answer until told.
class held_answers
{
public:
    [[nodiscard]] http_handler handler()
    {
        return [this](const http_call&, const http_answer& answer)
        {
            const std::lock_guard lock(mutex_);
            held_.push_back(answer);
        };
    }

    [[nodiscard]] std::size_t count()
    {
        const std::lock_guard lock(mutex_);
        return held_.size();
    }

    void answer_all(const std::string& body)
    {
        const std::lock_guard lock(mutex_);
        for (const http_answer& answer : held_)
        {
            answer({200, body});
        }
    }

private:
    std::mutex mutex_;
    std::vector<http_answer> held_;
};

struct client_fixture
{
    waiting_executor control;
    std::unique_ptr<http_client> client;

    explicit client_fixture(http_client_settings settings = {})
        : client(std::move(*http_client::create(settings, control)))
    {
    }

    kept_answer<http_reply>
    start(const std::string& host, milliseconds timeout = milliseconds{10'000})
    {
        kept_answer<http_reply> answer;
        client->post({host, "/v1/peer/ask", "x", timeout}, answer.keep());
        return answer;
    }

    kept_answer<http_reply>
    post(const std::string& host, milliseconds timeout = milliseconds{10'000})
    {
        auto answer = start(host, timeout);
        control.wait_for(answer);
        return answer;
    }
};

/// Accepts one connection, answers its first call and closes everything at
/// the second without an answer.
void answer_once(impl::listen_socket listening)
{
    const int connection = accept(listening.descriptor(), nullptr, nullptr);
    std::array<char, 4'096> buffer{};
    (void)recv(connection, buffer.data(), buffer.size(), 0);
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    (void)send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
    (void)recv(connection, buffer.data(), buffer.size(), 0);
    {
        const impl::listen_socket closed = std::move(listening);
    }
    close(connection);
}

} // namespace

TEST_CASE("calls share a kept connection", "[http]")
{
    const auto server = serve(echo);
    client_fixture at;
    for (int count = 0; count < 20; ++count)
    {
        CHECK(at.post(server->address()).value().body == "ask:x");
    }
    CHECK(at.client->counts().connections == 1);
    CHECK(at.client->counts().calls == 20);
}

TEST_CASE("calls beyond the connections of a host wait", "[http]")
{
    const auto server = serve(echo);
    http_client_settings settings;
    settings.connections_per_host = 3;
    client_fixture at(settings);
    std::vector<kept_answer<http_reply>> answers;
    for (int count = 0; count < 200; ++count)
    {
        answers.push_back(at.start(server->address()));
    }
    for (const auto& answer : answers)
    {
        at.control.wait_for(answer);
        CHECK(answer.succeeded());
    }
    CHECK(at.client->counts().connections <= 3);
}

TEST_CASE("no connection is not run", "[http]")
{
    client_fixture at;
    CHECK(at.post(closed_address())
              .failed(refusal_code::unreachable, verdict::not_run));
}

TEST_CASE("no answer in time may have run", "[http]")
{
    held_answers held;
    const auto server = serve(held.handler());
    client_fixture at;
    CHECK(at.post(server->address(), milliseconds{200})
              .failed(refusal_code::unreachable, verdict::may_have_run));
    CHECK(held.count() == 1);
    held.answer_all("");
    server->stop();
}

TEST_CASE("a silent host holds up no other", "[http]")
{
    held_answers held;
    const auto silent = serve(held.handler());
    const auto server = serve(echo);
    client_fixture at;
    std::vector<kept_answer<http_reply>> waiting;
    for (int count = 0; count < 50; ++count)
    {
        waiting.push_back(at.start(silent->address(), milliseconds{2'000}));
    }
    CHECK(at.post(server->address()).succeeded());
    std::size_t sent = 0;
    for (const auto& answer : waiting)
    {
        at.control.wait_for(answer);
        REQUIRE_FALSE(answer.outcome().has_value());
        sent += answer.outcome().error().effect == verdict::may_have_run;
    }
    // What waited for a connection until its timeout was never sent, and
    // nothing that is said not to have run has arrived.
    CHECK(sent >= 4);
    CHECK(sent < waiting.size());
    CHECK(held.count() <= sent);
    held.answer_all("");
}

TEST_CASE("a kept connection that dies may have run", "[http]")
{
    auto listening = impl::listen_socket::create(any_port);
    REQUIRE(listening.has_value());
    const std::string address = listening->address();
    std::thread answering(answer_once, std::move(*listening));
    client_fixture at;
    CHECK(at.post(address).succeeded());
    CHECK(at.post(address).failed(
        refusal_code::unreachable, verdict::may_have_run));
    answering.join();
}

TEST_CASE("bodies and pending calls are bounded", "[http]")
{
    const auto server = serve(
        [](const http_call&, const http_answer& answer) {
            answer({200, std::string(2'000, 'x')});
        });
    http_client_settings settings;
    settings.request_bytes = 10;
    settings.reply_bytes = 1'000;
    client_fixture at(settings);
    CHECK(at.post(server->address())
              .failed(refusal_code::unreachable, verdict::may_have_run));
    kept_answer<http_reply> large;
    at.client->post(
        {server->address(), "/", std::string(11, 'x')}, large.keep());
    at.control.wait_for(large);
    CHECK(large.failed(refusal_code::body_too_large, verdict::not_run));

    settings.pending_calls = 0;
    client_fixture full(settings);
    CHECK(full.post(server->address())
              .failed(refusal_code::overloaded, verdict::not_run));
}

TEST_CASE("a body that is too large for the server is refused", "[http]")
{
    http_server_settings settings;
    settings.request_bytes = 100;
    const auto server = serve(echo, settings);
    client_fixture at;
    const auto gateway = http_peer_gateway::create(*at.client);
    kept_answer<std::string> answer;
    gateway->call(
        {server->address(), "ask", std::string(200, 'x'), milliseconds{10'000}},
        answer.keep());
    at.control.wait_for(answer);
    CHECK(answer.failed(refusal_code::body_too_large, verdict::not_run));
}

TEST_CASE("stopping the client settles every call", "[http]")
{
    held_answers held;
    http_server_settings settings;
    settings.answer_bound = milliseconds{500};
    const auto server = serve(held.handler(), settings);
    client_fixture at;
    const auto answer = at.start(server->address());
    at.client.reset();
    at.control.wait_for(answer);
    CHECK(answer.times() == 1);
    CHECK_FALSE(answer.outcome().has_value());
}

TEST_CASE("a stopping server answers what is in hand", "[http]")
{
    held_answers held;
    const auto server = serve(held.handler());
    client_fixture at;
    const auto answer = at.start(server->address());
    at.control.wait_until([&] { return held.count() == 1; });
    std::thread stopping([&] { server->stop(); });
    held.answer_all("late");
    stopping.join();
    at.control.wait_for(answer);
    CHECK(answer.value().body == "late");
    CHECK(at.post(server->address())
              .failed(refusal_code::unreachable, verdict::not_run));
}

TEST_CASE("a peer's error comes through with its verdict", "[http]")
{
    const auto server = serve(
        [](const http_call& call, const http_answer& answer)
        {
            if (call.variables.at("method") == "bare")
            {
                answer({500, "?"});
                return;
            }
            answer(error_reply(
                {refusal_code::not_owner, verdict::ran, "elsewhere", {}}));
        });
    client_fixture at;
    const auto gateway = http_peer_gateway::create(*at.client);
    auto call = [&](const std::string& method)
    {
        kept_answer<std::string> answer;
        gateway->call(
            {server->address(), method, "", milliseconds{10'000}},
            answer.keep());
        at.control.wait_for(answer);
        return answer;
    };
    CHECK(call("ask").failed(refusal_code::not_owner, verdict::ran));
    CHECK(
        call("bare").failed(refusal_code::unreachable, verdict::may_have_run));
}
