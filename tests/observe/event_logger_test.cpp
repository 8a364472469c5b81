#include "observe/event_logger.hpp"

#include <catch2/catch.hpp>
#include <log4cplus/appender.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace acaciastile;
using Catch::Matchers::Contains;

namespace
{

/// Keeps each line as it was laid out.
class recording_appender : public log4cplus::Appender
{
public:
    explicit recording_appender(std::vector<std::string>& lines) : lines_(lines)
    {
    }
    ~recording_appender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& happened) override
    {
        lines_.push_back(formatEvent(happened));
    }

private:
    std::vector<std::string>& lines_;
};

std::vector<std::string> write(log_settings settings, const event& happened)
{
    std::vector<std::string> lines;
    auto log = event_logger::create(
        settings, log4cplus::SharedAppenderPtr(new recording_appender(lines)));
    log->emit(happened);
    return lines;
}

const event refused{
    event_number::key_refused, {{"team", "plan\"ning"}, {"key", "a1.s3cret"}}};

} // namespace

TEST_CASE("an event is one line of text with its number", "[log]")
{
    const auto lines = write({}, refused);
    REQUIRE(lines.size() == 1);
    CHECK_THAT(lines[0], Contains("1062 key_refused team=\"plan\\\"ning\""));
    CHECK_THAT(lines[0], Contains("WARN"));
}

TEST_CASE("an event is one JSON object where so set", "[log]")
{
    const auto lines = write({log_format::json, event_level::info}, refused);
    REQUIRE(lines.size() == 1);
    const auto parsed = nlohmann::json::parse(lines[0]);
    CHECK(parsed["event"] == 1062);
    CHECK(parsed["name"] == "key_refused");
    CHECK(parsed["level"] == "WARN");
    CHECK(parsed["team"] == "plan\"ning");
}

TEST_CASE("no form of a log line holds a key", "[log]")
{
    for (const log_format format : {log_format::text, log_format::json})
    {
        const auto lines = write({format, event_level::info}, refused);
        REQUIRE(lines.size() == 1);
        CHECK_THAT(lines[0], !Contains("s3cret"));
    }
}

TEST_CASE("levels below the least one are left out", "[log]")
{
    const event started{event_number::instance_started, {}};
    CHECK(write({log_format::text, event_level::warn}, started).empty());
}
