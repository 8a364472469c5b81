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
constexpr auto secret_field_names = std::to_array<std::string_view>(
    {"key", "secret", "authorization", "password", "token"});

/// Layouts with the time in UTC with milliseconds.
constexpr const char* text_pattern = "%d{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %m%n";
constexpr const char* json_pattern =
    R"({"time":"%d{%Y-%m-%dT%H:%M:%S.%qZ}","level":"%p",%m}%n)";

void initialize_log4cplus()
{
    static const log4cplus::Initializer initializer;
}

const event_kind* find_kind(event_number number) noexcept
{
    auto found = std::find_if(
        event_kinds.begin(),
        event_kinds.end(),
        [&](const event_kind& kind) { return kind.number == number; });
    return found == event_kinds.end() ? nullptr : &*found;
}

bool is_secret_field(std::string_view name)
{
    return std::any_of(
        secret_field_names.begin(),
        secret_field_names.end(),
        [&](std::string_view secret)
        {
            return absl::EqualsIgnoreCase(
                {secret.data(), secret.size()}, {name.data(), name.size()});
        });
}

/// True for text that JSON contains as it is.
bool is_plain(std::string_view text)
{
    return std::all_of(
        text.begin(),
        text.end(),
        [](char each)
        {
            return absl::ascii_isprint(static_cast<unsigned char>(each)) &&
                   each != '"' && each != '\\';
        });
}

std::string quote(std::string_view text)
{
    using json = nlohmann::json;
    if (is_plain(text))
    {
        return absl::StrCat(
            "\"", absl::string_view(text.data(), text.size()), "\"");
    }
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_text(const event_kind& kind, const event& entry)
{
    std::string line = absl::StrCat(
        static_cast<std::uint16_t>(kind.number),
        " ",
        absl::string_view(kind.name.data(), kind.name.size()));
    for (const auto& [name, value] : entry.fields)
    {
        line += ' ';
        line += name;
        line += '=';
        line += quote(is_secret_field(name) ? redacted : value);
    }
    return line;
}

/// Formats the members of a JSON object; the layout adds time, level and
/// braces.
std::string format_json_members(const event_kind& kind, const event& entry)
{
    std::string line = absl::StrCat(
        R"("event":)", static_cast<std::uint16_t>(kind.number), R"(,"name":)");
    line += quote(kind.name);
    for (const auto& [name, value] : entry.fields)
    {
        line += ',';
        line += quote(name);
        line += ':';
        line += quote(is_secret_field(name) ? redacted : value);
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

std::string format_event(log_format format, const event& entry)
{
    const event_kind* kind = find_kind(entry.number);
    if (kind == nullptr)
    {
        return {};
    }
    return format == log_format::json ? format_json_members(*kind, entry)
                                      : format_text(*kind, entry);
}

std::unique_ptr<event_logger> event_logger::create(log_settings settings)
{
    initialize_log4cplus();
    constexpr bool log_to_stderr = true;
    constexpr bool flush_each_line = true;
    return create(
        settings,
        log4cplus::SharedAppenderPtr(
            new log4cplus::ConsoleAppender(log_to_stderr, flush_each_line)));
}

std::unique_ptr<event_logger> event_logger::create(
    log_settings settings, log4cplus::SharedAppenderPtr appender)
{
    initialize_log4cplus();
    static std::atomic<std::uint64_t> created_loggers{0};
    auto logger = log4cplus::Logger::getInstance(
        absl::StrCat("acaciastile.", created_loggers.fetch_add(1)));
    logger.setAdditivity(false);
    logger.setLogLevel(level_of(settings.min_level));
    appender->setLayout(make_layout(settings.format));
    logger.addAppender(std::move(appender));
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

void event_logger::emit(const event& entry)
{
    const event_kind* kind = find_kind(entry.number);
    if (kind == nullptr || kind->level < settings_.min_level)
    {
        return;
    }
    logger_.log(level_of(kind->level), format_event(settings_.format, entry));
}

} // namespace acaciastile
