#include "codec/document_codec.hpp"
#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using Catch::Matchers::Contains;
using trompeloeil::_;

namespace
{

const std::string key = "Bearer k1.secret";

} // namespace

TEST_CASE("a job reaches the control code with its key", "[entry]")
{
    entry_fixture made;
    job_status accepted;
    accepted.job = job_id("j1");
    accepted.tasks[0] = 2;
    REQUIRE_CALL(made.cell, submit(_, _, _, _))
        .WITH(_2.text == "k1.secret" && _3.id == job_id("j1"))
        .WITH(_3.tasks == 2 && _3.each.memory_mib == 512)
        .LR_SIDE_EFFECT(_4(accepted));
    const std::string body =
        R"({"id":"j1","team":"planning","queue":"plans","kind":"batch",)"
        R"("tasks":2,"each":{"milli_processors":1000,"memory_mib":512}})";
    const auto answer = made.client->send("POST", "/v1/jobs", body, key);
    CHECK(answer.status == 200);
    CHECK(answer.json().at("job") == "j1");
    CHECK(answer.json().at("tasks").at("queued") == 2);
}

TEST_CASE("a request gets its own answer", "[entry]")
{
    entry_fixture made;
    REQUIRE_CALL(made.cell, request(_, _, _, _))
        .WITH(_3.kind == job_kind::request && !_3.repeatable)
        .SIDE_EFFECT(_4(request_answer{_3.id, "booked", false}));
    const std::string body =
        R"({"id":"r1","team":"t","queue":"q","repeatable":false,"each":{"milli_processors":100,"memory_mib":64}})";
    const auto answer = made.client->send("POST", "/v1/requests", body, key);
    CHECK(answer.status == 200);
    CHECK(answer.json().at("answer") == "booked");
}

TEST_CASE("status asks why only where wanted", "[entry]")
{
    entry_fixture made;
    job_status waiting;
    waiting.why = explanation{"limit", "The team is at its limit.", 3, 0, 9};
    REQUIRE_CALL(made.cell, status(_, _, job_id("j1"), true, _))
        .LR_SIDE_EFFECT(_5(waiting));
    REQUIRE_CALL(made.cell, status(_, _, job_id("j2"), false, _))
        .SIDE_EFFECT(_5(job_status{}));
    const auto answer = made.client->send("GET", "/v1/jobs/j1?why=1", "", key);
    CHECK(answer.json().at("why").at("reason") == "limit");
    const auto plain = made.client->send("GET", "/v1/jobs/j2", "", key);
    CHECK_FALSE(plain.json().contains("why"));
}

TEST_CASE("operators publish, grant and drain", "[entry]")
{
    entry_fixture made;
    REQUIRE_CALL(made.cell, publish_rules(_, _, 7u, _, _))
        .SIDE_EFFECT(_5(published{9}));
    const auto ruled = made.client->send(
        "PUT", "/v1/rules?base=7", R"({"teams":[],"queues":[]})", key);
    CHECK(ruled.json().at("in_force") == 9);

    granted_key granted;
    granted.entry.id = key_id("k2");
    granted.secret_text = "k2.other";
    REQUIRE_CALL(
        made.cell, grant_key(_, _, team_name("t"), key_right::caller, _))
        .LR_SIDE_EFFECT(_5(granted));
    const auto given =
        made.client->send("POST", "/v1/keys", R"({"team":"t"})", key);
    CHECK(given.json().at("key") == "k2.other");

    REQUIRE_CALL(made.cell, drain(_, _, _, true, _))
        .WITH(_3 == std::vector{worker_id("w1")})
        .SIDE_EFFECT(_5(published{10}));
    const auto drained = made.client->send(
        "POST", "/v1/workers/drain", R"({"workers":["w1"]})", key);
    CHECK(drained.status == 200);
}

TEST_CASE("operators read the documents in force", "[entry]")
{
    entry_fixture made;
    documents_in_force live;
    live.inventory_revision = 4;
    live.workers = inventory::create({{worker_id("w1"),
                                       data_centre_name("dc1"),
                                       rack_name("r1"),
                                       "10.0.0.1:7000",
                                       {1'000, 1'024, 0}}})
                       .value();
    live.rules_revision = 7;
    live.teams_and_queues =
        rules::create({{team_name("t"), 2, {1'000, 1'024, 0}}}, {}).value();
    REQUIRE_CALL(made.cell, documents(_, _, _))
        .TIMES(2)
        .LR_SIDE_EFFECT(_3(live));
    const auto listed = made.client->send("GET", "/v1/inventory", "", key);
    CHECK(listed.json().at("revision") == 4);
    CHECK(listed.json().at("inventory") == to_json(live.workers));
    const auto ruled = made.client->send("GET", "/v1/rules", "", key);
    CHECK(ruled.json().at("revision") == 7);
    CHECK(ruled.json().at("rules") == to_json(live.teams_and_queues));
}

TEST_CASE("readiness goes off with the shutdown", "[entry]")
{
    entry_fixture made;
    auto ticked = [&]
    {
        static_cast<void>(made.thread->call<bool>(
            [&](instant now, completion<bool> done)
            {
                made.service->tick(now);
                done(true);
            },
            milliseconds(10'000)));
    };
    ticked();
    CHECK(made.client->send("GET", "/ready").status == 200);
    CHECK(made.client->send("GET", "/health").status == 200);
    made.service->begin_shutdown();
    ticked();
    CHECK(made.client->send("GET", "/ready").status == 503);
}

TEST_CASE("metrics are served without a key", "[entry]")
{
    entry_fixture made;
    static_cast<void>(made.client->send("GET", "/health"));
    const auto answer = made.client->send("GET", "/metrics");
    CHECK(answer.status == 200);
    CHECK_THAT(
        answer.body,
        Contains("acaciastile_http_requests_total{route=\"health\"} 1"));
}

TEST_CASE("the internal port takes peers' calls and notices", "[entry]")
{
    entry_fixture made;
    const test_client peer(made.service->internal_address());
    const std::string bytes("\x81\x00\xff", 3);
    REQUIRE_CALL(made.cell, on_peer(_, "member.probe", bytes, _))
        .SIDE_EFFECT(_4(std::string("\x00\x01", 2)));
    const auto answer = peer.send("POST", "/v1/peer/member.probe", bytes);
    CHECK(answer.status == 200);
    CHECK(answer.body == std::string("\x00\x01", 2));
    CHECK(peer.send("POST", "/v1/notice", "told").status == 200);
    CHECK(made.notices == std::vector<std::string>{"told"});
    CHECK(peer.send("GET", "/v1/jobs").status == 404);
}
