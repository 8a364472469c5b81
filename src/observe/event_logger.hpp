#pragma once

#include "domain/event_sink.hpp"

#include <log4cplus/logger.h>
#include <memory>

namespace acaciastile
{

/// How an event is written: for people, or one JSON object a line.
enum class log_format
{
    text,
    json
};

struct log_settings
{
    log_format format = log_format::text;
    event_level min_level = event_level::info; ///< Lower levels are left out.
};

/// Writes events through log4cplus. A field that could hold a key is written
/// as `[redacted]`, whatever its value. May be called from any thread.
class event_logger final : public event_sink
{
public:
    /// Writes to the process's standard error.
    [[nodiscard]] static std::unique_ptr<event_logger>
    create(log_settings settings);

    /// Writes to the given appender, whose layout is replaced.
    [[nodiscard]] static std::unique_ptr<event_logger>
    create(log_settings settings, log4cplus::SharedAppenderPtr target);

    ~event_logger() override;
    event_logger(const event_logger&) = delete;
    event_logger& operator=(const event_logger&) = delete;

    void emit(const event& happened) override;

private:
    event_logger(log_settings settings, log4cplus::Logger logger);

    log_settings settings_;
    log4cplus::Logger logger_;
};

} // namespace acaciastile
