#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using trompeloeil::_;

namespace
{

const std::string key = "Bearer k1.secret";
const std::string job =
    R"({"id":"j1","team":"planning","queue":"plans","kind":"batch",)"
    R"("name":"render","tasks":2,)"
    R"("each":{"milli_processors":1000,"memory_mib":512,"accelerators":0}})";

void check_error(
    const test_answer& answer, long status, const std::string& code)
{
    CHECK(answer.status == status);
    CHECK(answer.error().at("code") == code);
    CHECK(answer.error().at("verdict") == "not_run");
    CHECK_FALSE(answer.error().at("message").get<std::string>().empty());
}

} // namespace

TEST_CASE("input that cannot be read is refused with its place", "[entry]")
{
    entry_fixture made;
    const auto answer =
        made.client->send("POST", "/v1/jobs", "{\"id\":\n  \"j1\",", key);
    check_error(answer, 400, "malformed");
    CHECK(answer.error().at("position").at("line") == 2);
}

TEST_CASE("unknown and wrong fields are refused", "[entry]")
{
    entry_fixture made;
    const std::string bodies[] = {
        R"({"id":"j1","colour":"red"})",
        R"({"id":"j1","team":"t","queue":"q","run_time":"10 parsecs"})",
        R"({"id":7})",
        R"([])",
        R"("text")"};
    for (const std::string& body : bodies)
    {
        INFO(body);
        check_error(
            made.client->send("POST", "/v1/jobs", body, key),
            400,
            "invalid_value");
        check_error(
            made.client->send("POST", "/v1/requests", body, key),
            400,
            "invalid_value");
    }
}

TEST_CASE("a body over the limit is refused", "[entry]")
{
    entry_fixture made;
    const std::string large(5'000, ' ');
    check_error(
        made.client->send("POST", "/v1/jobs", large, key),
        413,
        "body_too_large");
    const std::string at_limit = job + std::string(4096 - job.size(), ' ');
    REQUIRE_CALL(made.cell, submit(_, _, _, _)).SIDE_EFFECT(_4(job_status{}));
    CHECK(made.client->send("POST", "/v1/jobs", at_limit, key).status == 200);
}

TEST_CASE("a header that is no bearer key is refused", "[entry]")
{
    entry_fixture made;
    check_error(
        made.client->send("POST", "/v1/jobs", job, "Basic abc"),
        401,
        "unauthenticated");
}

TEST_CASE("the control code's refusals come through whole", "[entry]")
{
    entry_fixture made;
    const std::pair<refusal_code, long> refusals[] = {
        {refusal_code::unauthenticated, 401},
        {refusal_code::forbidden, 403},
        {refusal_code::unknown_queue, 400},
        {refusal_code::conflicting_id, 409},
        {refusal_code::queue_full, 429},
        {refusal_code::log_unavailable, 503},
        {refusal_code::no_owner, 503}};
    for (const auto& expected : refusals)
    {
        const refusal_code code = expected.first;
        const long status = expected.second;
        INFO(to_string(code));
        REQUIRE_CALL(made.cell, submit(_, _, _, _))
            .SIDE_EFFECT(_4(refuse(code, "for a reason")));
        const auto answer = made.client->send("POST", "/v1/jobs", job, key);
        check_error(answer, status, std::string(to_string(code)));
        CHECK(answer.retry_after.empty() != may_pass_later(code));
    }
}

TEST_CASE("an unknown path is a typed error", "[entry]")
{
    entry_fixture made;
    check_error(made.client->send("GET", "/v1/nothing"), 404, "malformed");
}

TEST_CASE("a publish without its base revision is refused", "[entry]")
{
    entry_fixture made;
    check_error(
        made.client->send("PUT", "/v1/rules", "{}", key), 400, "invalid_value");
    check_error(
        made.client->send("PUT", "/v1/rules?base=-1", "{}", key),
        400,
        "invalid_value");
}

TEST_CASE("a request without an answer in time may have run", "[entry]")
{
    entry_settings settings = entry_fixture::small_settings();
    settings.bounds.answer_slack = milliseconds(0);
    entry_fixture made(settings);
    completion<request_answer> kept;
    REQUIRE_CALL(made.cell, request(_, _, _, _)).LR_SIDE_EFFECT(kept = _4);
    const std::string body =
        R"({"id":"r1","team":"t","queue":"q","deadline_ms":50,"each":{"milli_processors":100,"memory_mib":64}})";
    const auto answer = made.client->send("POST", "/v1/requests", body, key);
    CHECK(answer.status == 504);
    CHECK(answer.error().at("code") == "deadline_exceeded");
    CHECK(answer.error().at("verdict") == "may_have_run");
}

TEST_CASE("requests over the bound in hand are refused at once", "[entry]")
{
    entry_settings settings = entry_fixture::small_settings();
    settings.external.requests_in_hand = 0;
    entry_fixture made(settings);
    const auto answer = made.client->send("GET", "/ready");
    check_error(answer, 503, "overloaded");
    CHECK(answer.retry_after == "2");
}
