#pragma once

#include "domain/metric_sink.hpp"
#include "observe/event_logger.hpp"

#include <chrono>
#include <cstdint>
#include <log4cplus/appender.h>
#include <string>

namespace acaciastile
{

struct nonblocking_appender_settings
{
    int descriptor = 1;                     ///< Standard output.
    std::size_t buffer_bytes = 256U << 10U; ///< Limit of unwritten lines.
    /// A line that follows the last write within this time is kept until the
    /// next line or a call of `flush` after it. Saves system calls under load.
    std::chrono::milliseconds write_interval{0};
    log_format format = log_format::json; ///< That of the logger.
};

/// Writes log lines to a non-blocking descriptor, so that a slow reader never
/// blocks the program. Unwritten lines are buffered up to a limit; beyond it
/// whole lines are dropped and counted. The count is logged as event 6050
/// before the next line that finds room, or by `flush` once all lines are
/// written. Each write has whole lines and at most `PIPE_BUF` bytes, which a
/// pipe takes or refuses as a whole; a longer line is written alone.
class nonblocking_appender final : public log4cplus::Appender
{
public:
    explicit nonblocking_appender(nonblocking_appender_settings settings = {});
    ~nonblocking_appender() override;

    void close() override;
    /// Writes the lines that were kept back. Where all could be written,
    /// dropped lines are reported.
    void flush();
    /// Number of lines dropped since construction.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }
    /// Sets the metrics `log_lines` and `log_lines_dropped`.
    void measure(metric_sink& measured) const;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    /// Adds an event 6050 to the buffer if dropped lines are unreported.
    void report_dropped();
    void write_buffer();

    nonblocking_appender_settings settings_;
    std::string buffer_;
    std::chrono::steady_clock::time_point last_write_;
    std::uint64_t lines_ = 0; ///< Dropped ones included.
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace acaciastile
