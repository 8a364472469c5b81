#include "support/store_server.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

TEST_CASE("an append carries its records and conditions", "[site]")
{
    store_server at;
    std::string target;
    std::string body;
    at.answer = [&](const net::http_request& request,
                    const net::http_responder& respond)
    {
        target = std::string(request.target());
        body = request.body();
        respond(reply(200, R"({"offset":840,"endOffset":841})"));
    };
    fleet::append_options options;
    options.fence = fleet::append_options::writer{"owner", 7, 12};
    const auto stored = at.wait<log_offset>(
        [&](auto done) {
            at.store.append("keyed.jobs", {{0, "k", "value"}}, options, done);
        });
    REQUIRE(stored.has_value());
    CHECK(*stored == 840);
    CHECK_THAT(target, Catch::Contains("topic=keyed.jobs"));
    CHECK_THAT(target, Catch::Contains("epoch=7&seqNo=12"));
    CHECK(body == std::string("\0\0\0\7\1kvalue", 11));
}

TEST_CASE("each status of the store maps to an error and a verdict", "[site]")
{
    store_server at;
    unsigned status = 0;
    at.answer =
        [&](const net::http_request&, const net::http_responder& respond)
    {
        if (status != 0)
        {
            respond(reply(status, "{}"));
        }
    };
    auto append = [&]
    {
        return at
            .wait<log_offset>([&](auto done)
                              { at.store.append("t", {}, {}, done); })
            .error();
    };
    status = 412;
    CHECK(append().code == refusal_code::revision_conflict);
    status = 409;
    CHECK(append().code == refusal_code::stale_epoch);
    status = 503;
    CHECK(append().effect == verdict::not_run);
    status = 0;
    CHECK(append().effect == verdict::may_have_run);
}

TEST_CASE("a page of records is decoded from its bytes", "[site]")
{
    store_server at;
    std::string page("\0\0\0\0\0\0\0\2\0\0\0\0\0\0\0\0", 16);
    page += std::string("\0\0\0\7\1kvalue", 11);
    page += std::string("\0\0\0\2\1k", 6);
    at.answer =
        [&](const net::http_request&, const net::http_responder& respond)
    { respond(reply(200, page)); };
    const auto read = at.wait<fleet::store_page>(
        [&](auto done) { at.store.read("keyed.jobs", 5, 0ms, done); });
    REQUIRE(read.has_value());
    REQUIRE(read->records.size() == 2);
    CHECK(read->records[0].offset == 5);
    CHECK(read->records[0].key == "k");
    CHECK(read->records[0].value == "value");
    CHECK(read->records[1].value.empty());
    CHECK(read->end == 7);
    page.resize(page.size() - 1);
    CHECK_FALSE(at.wait<fleet::store_page>(
                      [&](auto done)
                      { at.store.read("keyed.jobs", 5, 0ms, done); })
                    .has_value());
}

TEST_CASE("newest records come page by page", "[site]")
{
    store_server at;
    int calls = 0;
    at.answer =
        [&](const net::http_request&, const net::http_responder& respond)
    {
        ++calls;
        respond(reply(
            200,
            calls == 1
                ? R"({"items":[{"key":"a","value":"dg==","offset":4}],"hasMore":true,"endOffset":6})"
                : R"({"items":[{"key":"b","value":"dw==","offset":5}],"hasMore":false,"endOffset":9})"));
    };
    const auto newest = at.wait<fleet::store_page>(
        [&](auto done) { at.store.read_newest("keyed.op", {}, done); });
    REQUIRE(newest.has_value());
    REQUIRE(newest->records.size() == 2);
    CHECK(newest->records[1].value == "w");
    CHECK(
        newest->end == 6); // From the first page, so no later record is missed.
}

// Guards against a process that ends by an exception: an answer had a field of
// another type than the interface says.
TEST_CASE("answers of the store with odd fields are errors", "[site]")
{
    store_server at;
    const std::string body = GENERATE(
        R"({"offset":"x","items":7})",
        R"({"offset":-1,"items":[7]})",
        R"({"offset":1e300,"items":[{"key":7}]})",
        R"({"offset":{},"items":[{"key":"a","offset":1.5}]})",
        R"({"offset":[],"items":[],"hasMore":7})");
    INFO(body);
    at.answer =
        [&](const net::http_request&, const net::http_responder& respond)
    { respond(reply(200, body)); };
    const auto appended =
        at.wait<log_offset>([&](fleet::completion<log_offset> done)
                            { at.store.append("t", {}, {}, std::move(done)); });
    REQUIRE_FALSE(appended.has_value());
    CHECK(appended.error().effect == verdict::may_have_run);
    CHECK_FALSE(at.wait<fleet::store_page>(
                      [&](fleet::completion<fleet::store_page> done)
                      { at.store.read_newest("keyed.t", {}, std::move(done)); })
                    .has_value());
    at.answer = [](const net::http_request&, const net::http_responder& respond)
    { respond(reply(410, R"({"firstOffset":"x"})")); };
    const auto expired = at.wait<fleet::store_page>(
        [&](fleet::completion<fleet::store_page> done)
        { at.store.read("t", 5, 0ms, std::move(done)); });
    REQUIRE_FALSE(expired.has_value());
    CHECK(fleet::first_kept(expired.error(), 0) == 5);
}

// Guards against a topic that is never read on: a page that does not arrive in
// time was asked for again in the same size, for good.
TEST_CASE("a page that is late is asked for again in a smaller size", "[site]")
{
    store_server at;
    std::vector<int> asked;
    const int fits = GENERATE(320, 512);
    at.answer = [&](const net::http_request& request,
                    const net::http_responder& respond)
    {
        const std::string target(request.target());
        asked.push_back(std::stoi(target.substr(target.find("maxKb=") + 6)));
        if (asked.back() <= fits)
        {
            respond(reply(200, std::string(16, '\0')));
        }
    };
    const auto read = [&]
    {
        return at
            .wait<fleet::store_page>(
                [&](auto done) { at.store.read("keyed.jobs", 0, 0ms, done); })
            .has_value();
    };
    int tries = 1;
    while (!read())
    {
        REQUIRE(++tries <= 4);
    }
    CHECK(asked.front() == 1'024);
    CHECK(asked.back() == fits);
    static_cast<void>(read());
    CHECK(asked.back() == fits * 2);
}
