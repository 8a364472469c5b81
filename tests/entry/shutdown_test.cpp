#include "cli/api_client.hpp"
#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace acaciastile;
using trompeloeil::_;

namespace
{

constexpr std::chrono::seconds long_enough{20};

} // namespace

TEST_CASE("a shutdown gives every request in hand its answer", "[entry]")
{
    constexpr std::size_t callers = 40;
    entry_fixture made;
    std::vector<completion<request_answer>> kept;
    std::promise<void> all_taken;
    auto expected =
        NAMED_ALLOW_CALL(made.cell, request(_, _, _, _))
            .LR_SIDE_EFFECT(kept.push_back(_4); if (kept.size() == callers) {
                all_taken.set_value();
            });
    std::vector<std::future<test_answer>> answers;
    for (std::size_t index = 0; index < callers; ++index)
    {
        const std::string body =
            R"({"id":"r)" + std::to_string(index) +
            R"(","team":"t","queue":"q","each":{"milli_processors":100,"memory_mib":64}})";
        answers.push_back(std::async(
            std::launch::async,
            [&client = *made.client, body]
            { return client.send("POST", "/v1/requests", body); }));
    }
    REQUIRE(
        all_taken.get_future().wait_for(long_enough) ==
        std::future_status::ready);
    made.service->begin_shutdown();
    auto finished = std::async(
        std::launch::async,
        [&] { return made.service->finish(milliseconds(20'000)); });
    made.thread->post(
        [&]
        {
            for (auto& done : kept)
            {
                done(request_answer{job_id("r"), "whole", false});
            }
        });
    CHECK(finished.get());
    for (auto& each : answers)
    {
        const test_answer answer = each.get();
        CHECK(answer.status == 200);
        CHECK(answer.json().at("answer") == "whole");
    }
    CHECK(made.client->send("GET", "/health").status == 0);
}

TEST_CASE("requests that outlast the bound are told of", "[entry]")
{
    entry_fixture made;
    completion<request_answer> kept;
    std::promise<void> taken;
    REQUIRE_CALL(made.cell, request(_, _, _, _))
        .LR_SIDE_EFFECT(kept = _4; taken.set_value());
    auto answer = std::async(
        std::launch::async,
        [&]
        {
            return made.client->send(
                "POST",
                "/v1/requests",
                R"({"id":"r","team":"t","queue":"q","each":{"milli_processors":100,"memory_mib":64}})");
        });
    REQUIRE(
        taken.get_future().wait_for(long_enough) == std::future_status::ready);
    CHECK_FALSE(made.service->finish(milliseconds(20)));
    CHECK(made.events.count(event_number::requests_cut_off) == 1);
    made.thread->post([&] { kept(request_answer{}); });
    answer.wait();
}

TEST_CASE(
    "what comes over an open connection in the end is answered", "[entry]")
{
    entry_fixture made;
    auto client =
        api_client::create({made.service->external_address()}).value();
    REQUIRE(client->call("GET", "/health").has_value());
    std::promise<void> taken;
    completion<request_answer> kept;
    REQUIRE_CALL(made.cell, request(_, _, _, _))
        .LR_SIDE_EFFECT(kept = _4; taken.set_value());
    auto finished = std::async(
        std::launch::async,
        [&] { return made.service->finish(milliseconds(20'000)); });
    auto answer = std::async(
        std::launch::async,
        [&]
        {
            return client->call(
                "POST",
                "/v1/requests",
                R"({"id":"r","queue":"q",)"
                R"("each":{"milli_processors":100,"memory_mib":64}})");
        });
    REQUIRE(
        taken.get_future().wait_for(long_enough) == std::future_status::ready);
    // Past the linger: the request is still in hand and is waited for.
    std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
    made.thread->post(
        [&] {
            kept(request_answer{job_id("r"), "whole", false});
        });
    CHECK(answer.get().has_value());
    CHECK(finished.get());
}
