#include "observe/nonblocking_appender.hpp"

#include <algorithm>
#include <climits>
#include <fcntl.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <sstream>
#include <string_view>
#include <unistd.h>

namespace acaciastile
{

namespace
{

/// Size of the next write: as many whole lines as the system writes to a pipe
/// at once. Only a line that is longer than that is written in parts.
std::size_t next_write_size(std::string_view lines) noexcept
{
    if (lines.size() <= PIPE_BUF)
    {
        return lines.size();
    }
    const std::size_t last_end = lines.substr(0, PIPE_BUF).rfind('\n');
    if (last_end != std::string_view::npos)
    {
        return last_end + 1;
    }
    return std::min(lines.find('\n'), lines.size() - 1) + 1;
}

} // namespace

nonblocking_appender::nonblocking_appender(
    nonblocking_appender_settings settings)
    : settings_(settings)
{
    const int flags = ::fcntl(settings_.descriptor, F_GETFL);
    if (flags >= 0)
    {
        // If this fails, writes may block; there is no fallback.
        static_cast<void>(
            ::fcntl(settings_.descriptor, F_SETFL, flags | O_NONBLOCK));
    }
}

nonblocking_appender::~nonblocking_appender()
{
    destructorImpl();
}

void nonblocking_appender::close()
{
    flush();
    closed = true;
}

void nonblocking_appender::append(
    const log4cplus::spi::InternalLoggingEvent& event)
{
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    const std::string text = line.str();
    ++lines_;
    if (buffer_.size() + text.size() > settings_.buffer_bytes)
    {
        flush();
    }
    if (buffer_.size() + text.size() > settings_.buffer_bytes)
    {
        ++dropped_;
        return;
    }
    report_dropped();
    buffer_ += text;
    if (std::chrono::steady_clock::now() - last_write_ >=
        settings_.write_interval)
    {
        flush();
    }
}

void nonblocking_appender::flush()
{
    last_write_ = std::chrono::steady_clock::now();
    write_buffer();
    if (buffer_.empty())
    {
        report_dropped();
        write_buffer();
    }
}

void nonblocking_appender::measure(metric_sink& measured) const
{
    measured.gauge("log_lines", "", static_cast<double>(lines_));
    measured.gauge("log_lines_dropped", "", static_cast<double>(dropped_));
}

void nonblocking_appender::report_dropped()
{
    if (dropped_ == dropped_reported_)
    {
        return;
    }
    const event dropped{
        event_number::lines_dropped,
        {{"lines", std::to_string(dropped_ - dropped_reported_)}}};
    std::ostringstream line;
    layout->formatAndAppend(
        line,
        {name,
         log4cplus::WARN_LOG_LEVEL,
         format_event(settings_.format, dropped),
         __FILE__,
         __LINE__});
    buffer_ += line.str();
    dropped_reported_ = dropped_;
}

void nonblocking_appender::write_buffer()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        const std::string_view rest = std::string_view(buffer_).substr(written);
        const ssize_t count =
            ::write(settings_.descriptor, rest.data(), next_write_size(rest));
        if (count <= 0)
        {
            break; // Full or closed; retried with the next line or flush.
        }
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

} // namespace acaciastile
