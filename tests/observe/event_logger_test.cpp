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

/// Records each formatted line.
class recording_appender : public log4cplus::Appender
{
public:
    explicit recording_appender(std::vector<std::string>& lines) : lines_(lines)
    {
    }
    ~recording_appender() override { destructorImpl(); }
    void close() override { closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& entry) override
    {
        lines_.push_back(formatEvent(entry));
    }

private:
    std::vector<std::string>& lines_;
};

std::vector<std::string> log_lines(log_settings settings, const event& entry)
{
    std::vector<std::string> lines;
    auto log = event_logger::create(
        settings, log4cplus::SharedAppenderPtr(new recording_appender(lines)));
    log->emit(entry);
    return lines;
}

const event key_refused_event{
    event_number::key_refused, {{"team", "plan\"ning"}, {"key", "a1.s3cret"}}};

} // namespace

TEST_CASE("text format writes one line with the event number", "[log]")
{
    const auto lines = log_lines({}, key_refused_event);
    REQUIRE(lines.size() == 1);
    CHECK_THAT(lines[0], Contains("1062 key_refused team=\"plan\\\"ning\""));
    CHECK_THAT(lines[0], Contains("WARN"));
}

TEST_CASE("JSON format writes one object for each event", "[log]")
{
    const auto lines =
        log_lines({log_format::json, event_level::info}, key_refused_event);
    REQUIRE(lines.size() == 1);
    const auto parsed = nlohmann::json::parse(lines[0]);
    CHECK(parsed["event"] == 1062);
    CHECK(parsed["name"] == "key_refused");
    CHECK(parsed["level"] == "WARN");
    CHECK(parsed["team"] == "plan\"ning");
}

TEST_CASE("no log format writes the value of a key", "[log]")
{
    for (const log_format format : {log_format::text, log_format::json})
    {
        const auto lines =
            log_lines({format, event_level::info}, key_refused_event);
        REQUIRE(lines.size() == 1);
        CHECK_THAT(lines[0], !Contains("s3cret"));
    }
}

TEST_CASE("events below the minimum level are discarded", "[log]")
{
    const event started{event_number::instance_started, {}};
    CHECK(log_lines({log_format::text, event_level::warn}, started).empty());
}
