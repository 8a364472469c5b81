#include "cli/setting_field.hpp"
#include "cli/settings_page.hpp"
#include "cli/settings_reader.hpp"
#include "cli/unit_values.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace acaciastile;
using Catch::Matchers::Contains;

namespace
{

const std::string needed = R"({
    // The smallest file.
    "instance": {"name": "entry-1", "data_centre": "dc1"},
    "platform": {"address": "127.0.0.1:7070"})";

settings_outcome read(const std::string& more)
{
    return read_settings(needed + more + "}", "s.json");
}

error only_error(const settings_outcome& outcome)
{
    REQUIRE(outcome.errors.size() == 1);
    return outcome.errors.front();
}

} // namespace

TEST_CASE("a small file has all other settings by default", "[settings]")
{
    const auto outcome = read("");
    REQUIRE(outcome.errors.empty());
    const serve_settings& in = outcome.settings;
    CHECK(in.instance_name == "entry-1");
    CHECK(in.entry.external.address.str() == "127.0.0.1:7080");
    CHECK(in.entry.bounds.call == milliseconds(10'000));
    CHECK(in.tuning.lease == milliseconds(30'000));
    CHECK_FALSE(in.entry.external.tls);
}

TEST_CASE("times and sizes carry units", "[settings]")
{
    const auto outcome =
        read(R"(, "callers": {"body_limit": "64KiB", "idle_timeout": "1min"},
               "waits": {"call": "250ms"}, "log": {"format": "json"})");
    REQUIRE(outcome.errors.empty());
    CHECK(outcome.settings.entry.external.body_limit == 65'536);
    CHECK(outcome.settings.entry.bounds.call == milliseconds(250));
    CHECK(outcome.settings.log.format == log_format::json);
}

TEST_CASE("an unknown setting is told with its place", "[settings]")
{
    const auto wrong = only_error(read(",\n    \"waits\": {\"cal\": \"1s\"}"));
    CHECK(
        describe(wrong) ==
        "s.json:5:15: waits.cal: unknown setting; docs/operators/settings.md "
        "lists them all");
}

TEST_CASE("a wrong value is told with what is allowed", "[settings]")
{
    const std::pair<std::string, std::string> cases[] = {
        {R"("waits": {"call": "10 parsecs"})",
         "waits.call: found \"10 parsecs\", allowed is a time with its unit "
         "(ms, s, min, h, d) from 100ms to 5min"},
        {R"("waits": {"call": 10})", "waits.call: found 10, allowed is a time"},
        {R"("waits": {"call": "1ms"})", "waits.call: found \"1ms\""},
        {R"("callers": {"connections": 0})", "found 0, allowed is a whole"},
        {R"("callers": {"connections": 1.5})", "found 1.5, allowed"},
        {R"("callers": {"connections": 18446744073709551615})", "allowed"},
        {R"("callers": {"connections": "8"})", "found \"8\", allowed"},
        {R"("callers": {"body_limit": "1MB"})", "(B, KiB, MiB, GiB)"},
        {R"("callers": {"address": "localhost:80"})", "a.b.c.d:port"},
        {R"("log": {"level": "loud"})", "one of info, warn, fault"},
        {R"("log": null)", "log: unknown setting"},
        {R"("log": {"level": ["info"]})", "found [\"info\"], allowed"}};
    for (const auto& [written, message] : cases)
    {
        INFO(written);
        const auto wrong = only_error(read(", " + written));
        CHECK_THAT(wrong.message, Contains(message));
        CHECK(wrong.position.line == 4);
    }
}

TEST_CASE("settings that contradict each other are told", "[settings]")
{
    const std::pair<std::string, std::string> cases[] = {
        {R"("callers": {"tls": {"key": "k.pem"}})", "set both or not at all"},
        {R"("callers": {"tls": {"client_ca": "c.pem"}})", "needs callers.tls"},
        {R"("callers": {"connections": 10})", "not be more than"},
        {R"("peers": {"address": "127.0.0.1:7080"})", "must differ"},
        {R"("waits": {"request": "5min"})", "longest_request"},
        {R"("cell": {"beat": "20s"})", "half of cell.lease"},
        {R"("operators": {"bootstrap": {"id": "o"}})", "set together"}};
    for (const auto& [written, message] : cases)
    {
        INFO(written);
        const auto wrong = only_error(read(", " + written));
        CHECK_THAT(wrong.message, Contains(message));
        CHECK(wrong.position.line == 4);
    }
}

TEST_CASE("all errors are told in one pass", "[settings]")
{
    const auto outcome = read_settings(
        R"({"instance": {"name": ""}, "colour": 1, "waits": {"call": "0s"}})",
        "s.json");
    CHECK(outcome.errors.size() == 5);
}

TEST_CASE("a name that stands twice is an error", "[settings]")
{
    const auto wrong =
        only_error(read(R"(, "log": {"level": "info", "level": "warn"})"));
    CHECK_THAT(wrong.message, Contains("'log.level' stands twice"));
}

TEST_CASE("broken JSON is told with its line", "[settings]")
{
    const auto wrong = only_error(read(",\n\n  \"log\": }"));
    CHECK(wrong.code == refusal_code::malformed);
    CHECK(wrong.position.line == 6);
    CHECK(only_error(read_settings("[1]", "s")).position.line == 1);
    CHECK_FALSE(read_settings("", "s").errors.empty());
    CHECK_FALSE(read_settings("7", "s").errors.empty());
}

TEST_CASE("a file that cannot be read is an error", "[settings]")
{
    const auto wrong = only_error(read_settings_file("/nonexistent/s.json"));
    CHECK(describe(wrong) == "/nonexistent/s.json: cannot read the file");
}

TEST_CASE("every field's default passes its own check", "[settings]")
{
    for (const setting_field& field : setting_fields())
    {
        INFO(field.path);
        CHECK_FALSE(field.text.empty());
        CHECK_FALSE((field.required && !field.initial.empty()));
    }
}

TEST_CASE("units are read and written alike", "[settings]")
{
    for (const char* text : {"0ms", "1ms", "250ms", "10s", "5min", "2h", "1d"})
    {
        CHECK(write_duration(parse_duration(text).value()) == text);
    }
    CHECK(write_size(parse_size("1536KiB").value()) == "1536KiB");
    for (const char* text : {"", "s", "-1s", "1", "1.5s", "1 s", "99999999d9"})
    {
        CHECK_FALSE(parse_duration(text));
    }
    CHECK_FALSE(parse_size("99999999999GiB"));
}

TEST_CASE("the page of settings is the program's own", "[settings][docs]")
{
    std::ifstream in(
        std::string(ACACIASTILE_SOURCE_DIR) + "/docs/operators/settings.md");
    std::ostringstream page;
    page << in.rdbuf();
    CHECK(page.str() == write_settings_page());
}
