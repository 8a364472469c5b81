#pragma once

#include "net/http_server.hpp"
#include "platform/store_client.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciastile::test
{

/// A client of the metadata store and an HTTP server on loopback that replies
/// with `answer`.
struct store_server
{
    boost::asio::io_context loop;
    net::timer_service timers{loop};
    net::http_client http{loop, timers};
    net::endpoint address{"127.0.0.1", 17'931};
    std::function<void(net::http_request, net::http_responder)> answer;
    std::unique_ptr<net::http_server> server;
    site::store_client store{
        http,
        address,
        {milliseconds{200}, milliseconds{200}, milliseconds{200}}};

    store_server()
    {
        auto made = net::http_server::create(
            loop,
            address,
            {},
            [this](net::http_request request, net::http_responder respond)
            { answer(std::move(request), std::move(respond)); });
        REQUIRE(made.has_value());
        server = *std::move(made);
    }

    /// Runs the loop until a call has completed.
    template<class Value>
    result<Value> wait(std::function<void(fleet::completion<Value>)> call)
    {
        std::optional<result<Value>> outcome;
        call([&](result<Value> told) { outcome = std::move(told); });
        while (!outcome)
        {
            loop.run_one();
        }
        return *std::move(outcome);
    }
};

inline net::http_response reply(unsigned status, std::string body)
{
    net::http_response response;
    response.result(status);
    response.body() = std::move(body);
    return response;
}

} // namespace acaciastile::test
