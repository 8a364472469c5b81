#pragma once

#include "domain/event_sink.hpp"

#include <log4cplus/logger.h>
#include <memory>
#include <string>

namespace acaciastile
{

/// Format of a log line.
enum class log_format
{
    text, ///< Human-readable.
    json  ///< One JSON object on each line.
};

struct log_settings
{
    log_format format = log_format::text;
    event_level min_level = event_level::info; ///< Lower ones are discarded.
};

/// Number, name and fields of an event as they stand in a log line, without the
/// time and the level that the layout adds. Empty for an unknown event.
[[nodiscard]] std::string format_event(log_format format, const event& entry);

/// Writes events through log4cplus. Fields whose names suggest a secret, such
/// as `key` or `token`, are written as `[redacted]`. Thread-safe.
class event_logger final : public event_sink
{
public:
    /// Creates a logger that writes to standard error.
    [[nodiscard]] static std::unique_ptr<event_logger>
    create(log_settings settings);

    /// Creates a logger that writes to an appender and replaces its layout.
    [[nodiscard]] static std::unique_ptr<event_logger>
    create(log_settings settings, log4cplus::SharedAppenderPtr appender);

    ~event_logger() override;
    event_logger(const event_logger&) = delete;
    event_logger& operator=(const event_logger&) = delete;

    void emit(const event& entry) override;

private:
    event_logger(log_settings settings, log4cplus::Logger logger);

    log_settings settings_;
    log4cplus::Logger logger_;
};

} // namespace acaciastile
