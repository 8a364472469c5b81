#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>
#include <future>
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
