#include "observe/event_logger.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <nlohmann/json.hpp>

namespace acaciastile
{

namespace
{

constexpr std::string_view redacted = "[redacted]";
constexpr auto secret_names = std::to_array<std::string_view>(
    {"key", "secret", "authorization", "password", "token"});

/// Time in UTC with milliseconds.
constexpr const char* text_pattern = "%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";
constexpr const char* json_pattern =
    R"({"time":"%d{%Y-%m-%dT%H:%M:%S.%qZ}","level":"%p",%m}%n)";

void start_library()
{
    static const log4cplus::Initializer initializer;
}

const event_kind* find_kind(event_number number) noexcept
{
    auto at = std::find_if(
        event_kinds.begin(),
        event_kinds.end(),
        [&](const event_kind& kind) { return kind.number == number; });
    return at == event_kinds.end() ? nullptr : &*at;
}

bool may_hold_secret(std::string_view name)
{
    const auto lower = absl::AsciiStrToLower({name.data(), name.size()});
    return std::find(secret_names.begin(), secret_names.end(), lower) !=
           secret_names.end();
}

std::string quote(std::string_view text)
{
    using json = nlohmann::json;
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string write_text(const event_kind& kind, const event& happened)
{
    std::string line = absl::StrCat(
        static_cast<std::uint16_t>(kind.number),
        " ",
        absl::string_view(kind.name.data(), kind.name.size()));
    for (const auto& [name, value] : happened.fields)
    {
        line += ' ';
        line += name;
        line += '=';
        line += quote(may_hold_secret(name) ? redacted : value);
    }
    return line;
}

/// The members of a JSON object without its braces; the layout adds the rest.
std::string write_members(const event_kind& kind, const event& happened)
{
    std::string line = absl::StrCat(
        R"("event":)", static_cast<std::uint16_t>(kind.number), R"(,"name":)");
    line += quote(kind.name);
    for (const auto& [name, value] : happened.fields)
    {
        line += ',';
        line += quote(name);
        line += ':';
        line += quote(may_hold_secret(name) ? redacted : value);
    }
    return line;
}

log4cplus::LogLevel level_of(event_level level) noexcept
{
    switch (level)
    {
    case event_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case event_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case event_level::fault:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::unique_ptr<log4cplus::Layout> make_layout(log_format format)
{
    const char* pattern =
        format == log_format::json ? json_pattern : text_pattern;
    return std::make_unique<log4cplus::PatternLayout>(pattern);
}

} // namespace

std::unique_ptr<event_logger> event_logger::create(log_settings settings)
{
    start_library();
    constexpr bool to_standard_error = true;
    constexpr bool flush_each_line = true;
    return create(
        settings,
        log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
            to_standard_error, flush_each_line)));
}

std::unique_ptr<event_logger>
event_logger::create(log_settings settings, log4cplus::SharedAppenderPtr target)
{
    start_library();
    static std::atomic<std::uint64_t> made{0};
    auto logger = log4cplus::Logger::getInstance(
        absl::StrCat("acaciastile.", made.fetch_add(1)));
    logger.setAdditivity(false);
    logger.setLogLevel(level_of(settings.min_level));
    target->setLayout(make_layout(settings.format));
    logger.addAppender(std::move(target));
    return std::unique_ptr<event_logger>(
        new event_logger(settings, std::move(logger)));
}

event_logger::event_logger(log_settings settings, log4cplus::Logger logger)
    : settings_(settings), logger_(std::move(logger))
{
}

event_logger::~event_logger()
{
    logger_.removeAllAppenders();
}

void event_logger::emit(const event& happened)
{
    const event_kind* kind = find_kind(happened.number);
    if (kind == nullptr || kind->level < settings_.min_level)
    {
        return;
    }
    const std::string line = settings_.format == log_format::json
                                 ? write_members(*kind, happened)
                                 : write_text(*kind, happened);
    logger_.log(level_of(kind->level), line);
}

} // namespace acaciastile
