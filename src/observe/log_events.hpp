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
    event_level least = event_level::info; ///< Lower levels are left out.
};

/// Writes events through log4cplus. A field that could hold a key is written
/// as `[redacted]`, whatever its value. May be called from any thread.
class log_events final : public event_sink
{
public:
    /// Writes to the process's standard error.
    [[nodiscard]] static std::unique_ptr<log_events>
    create(log_settings settings);

    /// Writes to the given appender, whose layout is replaced.
    [[nodiscard]] static std::unique_ptr<log_events>
    create(log_settings settings, log4cplus::SharedAppenderPtr target);

    ~log_events() override;
    log_events(const log_events&) = delete;
    log_events& operator=(const log_events&) = delete;

    void emit(const event& happened) override;

private:
    log_events(log_settings settings, log4cplus::Logger logger);

    log_settings settings_;
    log4cplus::Logger logger_;
};

} // namespace acaciastile
