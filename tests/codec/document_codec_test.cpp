#include "codec/document_codec.hpp"
#include "codec/enum_names.hpp"
#include "codec/json_text.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

constexpr std::string_view inventory_text = R"({
  // Almaty, first data centre
  "workers": [
    {"id": "w1", "data_centre": "almaty-1", "rack": "r1",
     "address": "127.0.0.1:9000",
     "capacity": {"milli_processors": 32000, "memory_mib": 64000}}
  ]
})";

constexpr std::string_view rules_text = R"({
  "teams": [{"name": "planning", "share": 2, "upper_limit":
    {"milli_processors": 1, "memory_mib": 2, "accelerators": 3}}],
  "queues": [{"name": "plans", "policy": "urgent", "teams": ["planning"]}]
})";

std::string replace_text(
    std::string_view text, std::string_view what, std::string_view with)
{
    std::string changed(text);
    auto at = changed.find(what);
    REQUIRE(at != std::string::npos);
    return changed.replace(at, what.size(), with);
}

} // namespace

TEST_CASE("an inventory with comments round-trips", "[codec]")
{
    auto read = parse_inventory(inventory_text);
    REQUIRE(read.has_value());
    REQUIRE(read->workers().size() == 1);
    CHECK(read->workers()[0].capacity == resources{32'000, 64'000, 0});
    CHECK(parse_inventory(to_json_text(*read)) == read);
}

TEST_CASE("rules round-trip", "[codec]")
{
    auto read = parse_rules(rules_text);
    REQUIRE(read.has_value());
    CHECK(read->queues()[0].policy == work_class::urgent);
    CHECK(read->queues()[0].queue_bound == 100'000);
    CHECK(parse_rules(to_json_text(*read)) == read);
}

TEST_CASE("a job, a key and an error round-trip", "[codec]")
{
    job_spec spec;
    spec.id = job_id("j1");
    spec.queue = queue_name("plans");
    spec.kind = job_kind::gang;
    spec.run_time = milliseconds(250);
    spec.deadline = milliseconds(1'200);
    spec.each = {1'000, 512, 1};
    CHECK(parse_job_spec(to_json_text(spec)).value() == spec);

    key_entry key{key_id("k"), team_name("t"), key_right::operate, "0a", "0b"};
    CHECK(parse_key_entry(to_json_text(key)).value() == key);

    error failure{
        refusal_code::outcome_unknown,
        verdict::may_have_run,
        "lost",
        {"rules.json", 3, 4}};
    CHECK(parse_error(to_json_text(failure)).value() == failure);
    failure.position = {};
    CHECK(parse_error(to_json_text(failure)).value() == failure);
}

TEST_CASE("a syntax error is reported with line and column", "[codec]")
{
    auto read = parse_inventory("{\n  \"workers\": [}\n}");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code == refusal_code::malformed);
    CHECK(read.error().position.line == 2);
    CHECK(read.error().position.column == 15);
}

TEST_CASE("error messages name the path of the field", "[codec]")
{
    auto message_of = [](std::string_view what, std::string_view with)
    {
        auto read = parse_inventory(replace_text(inventory_text, what, with));
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().code == refusal_code::invalid_value);
        CHECK(read.error().effect == verdict::not_run);
        return read.error().message;
    };
    CHECK(
        message_of("64000", "\"much\"") ==
        "workers[0].capacity.memory_mib: expected an integer");
    CHECK(
        message_of("64000", "-1") ==
        "workers[0].capacity.memory_mib: expected an amount from 0 to 10^12");
    CHECK(
        message_of("64000", "1e30") ==
        "workers[0].capacity.memory_mib: expected an integer");
    CHECK(
        message_of("\"rack\"", "\"shelf\"") ==
        "workers[0].rack: missing field");
    CHECK(
        message_of("\"rack\"", "\"colour\": 1, \"rack\"") ==
        "workers[0].colour: unknown field");
    CHECK(
        message_of("\"rack\"", "\"id\": \"w2\", \"rack\"") ==
        "id: given twice in one object");
}

TEST_CASE("an error for an unknown enumerator lists the known names", "[codec]")
{
    auto read = parse_rules(replace_text(rules_text, "urgent", "soon"));
    REQUIRE_FALSE(read.has_value());
    CHECK(
        read.error().message ==
        "queues[0].policy: expected one of urgent, status, service, batch, "
        "gang");
}

TEST_CASE("error messages never contain the value of a field", "[codec]")
{
    auto read = parse_key_entry(R"({"id": "k", "salt_hex": "s3cret",
        "hash_hex": 17, "right": "t0psecret"})");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().message.find("cret") == std::string::npos);
    read = parse_key_entry("{\"id\": \"t0psecret");
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().message.find("cret") == std::string::npos);
}

TEST_CASE("durations and counts out of range are rejected", "[codec]")
{
    std::string text = to_json_text(job_spec{});
    auto read =
        parse_job_spec(replace_text(text, "\"id\":\"\"", "\"id\":\"j\""));
    REQUIRE(read.has_value());
    read = parse_job_spec(replace_text(text, "_time_ms\":0", "_time_ms\":-5"));
    REQUIRE_FALSE(read.has_value());
    CHECK(
        read.error().message ==
        "run_time_ms: expected a number of milliseconds from zero to ten "
        "years");
    read = parse_job_spec(
        replace_text(text, "\"tasks\":1", "\"tasks\":5000000000"));
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().message == "tasks: expected a smaller integer");
}

TEST_CASE("invalid UTF-8 is written without an exception", "[codec]")
{
    job_spec spec;
    spec.payload = "\xff";
    CHECK_FALSE(to_json_text(spec).empty());
}

TEST_CASE("name tables are in the order of their enumerators", "[codec]")
{
    for (std::size_t at = 0; at < job_kind_names.size(); ++at)
    {
        CHECK(static_cast<std::size_t>(job_kind_names[at].first) == at);
    }
    for (std::size_t at = 0; at < verdict_names.size(); ++at)
    {
        CHECK(to_string(verdict_names[at].first) == verdict_names[at].second);
    }
}
