#include "cli/api_client.hpp"
#include "cli/wait_for_job.hpp"
#include "codec/url_text.hpp"
#include "entry/listen_socket.hpp"
#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using trompeloeil::_;

namespace
{

std::unique_ptr<api_client> connect(const std::string& address)
{
    client_settings settings;
    settings.address = address;
    settings.key = "k1.secret";
    return api_client::create(settings).value();
}

nlohmann::json with_tasks(const char* state, int count)
{
    return {{"tasks", {{state, count}}}};
}

} // namespace

TEST_CASE("the client sends its key and reads the answer", "[client]")
{
    entry_fixture made;
    REQUIRE_CALL(made.cell, cancel(_, _, job_id("a b%"), _))
        .WITH(_2.text == "k1.secret")
        .SIDE_EFFECT(_4(job_status{}));
    auto client = connect(made.service->external_address());
    const auto answer =
        client->call("DELETE", "/v1/jobs/" + escape_url("a b%"));
    REQUIRE(answer.has_value());
    CHECK(answer->at("cancelled") == false);
}

TEST_CASE("the client reads a refusal with code and verdict", "[client]")
{
    entry_fixture made;
    REQUIRE_CALL(made.cell, dump(_, _, _))
        .SIDE_EFFECT(_3(refuse(
            refusal_code::forbidden, verdict::not_run, "an operator's call")));
    auto client = connect(made.service->external_address());
    const auto answer = client->call("GET", "/v1/dump");
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == refusal_code::forbidden);
    CHECK(answer.error().effect == verdict::not_run);
    CHECK(answer.error().message == "an operator's call");
}

TEST_CASE("the client sends several calls over one connection", "[client]")
{
    entry_fixture made;
    auto client = connect(made.service->external_address());
    for (int turn = 0; turn < 3; ++turn)
    {
        CHECK(client->call("GET", "/health").has_value());
        const auto wrong = client->call("POST", "/v1/jobs", "{");
        CHECK(wrong.error().code == refusal_code::malformed);
        CHECK(wrong.error().position.line == 1);
    }
}

TEST_CASE("a server that is not there was not reached", "[client]")
{
    std::string nobody;
    {
        auto socket = listen_socket::create({"127.0.0.1", 0}).value();
        nobody = "127.0.0.1:" + std::to_string(socket.port());
    }
    const auto answer = connect(nobody)->call("GET", "/health");
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().code == refusal_code::unreachable);
    CHECK(answer.error().effect == verdict::not_run);
}

TEST_CASE("wait tells how a job ended", "[client]")
{
    CHECK_FALSE(ended_as(with_tasks("queued", 1)).has_value());
    CHECK_FALSE(ended_as(with_tasks("running", 1)).has_value());
    CHECK(ended_as(with_tasks("succeeded", 2)) == exit_status::done);
    CHECK(ended_as(with_tasks("failed", 1)) == exit_status::ended_badly);
    CHECK(ended_as(with_tasks("cancelled", 1)) == exit_status::ended_badly);
    CHECK(ended_as(with_tasks("unknown", 1)) == exit_status::unknown);
}
