#pragma once

#include <cstdint>
#include <log4cplus/appender.h>
#include <string>

namespace acaciastile
{

struct nonblocking_appender_settings
{
    int descriptor = 1;                     ///< Standard output.
    std::size_t buffer_bytes = 256U << 10U; ///< Kept while nobody reads.
};

/// Writes log lines without ever waiting for their reader: what the
/// descriptor does not take is kept up to a bound and then dropped by whole
/// lines, which are counted.
class nonblocking_appender final : public log4cplus::Appender
{
public:
    explicit nonblocking_appender(nonblocking_appender_settings settings = {});
    ~nonblocking_appender() override;

    void close() override;
    /// Lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void write_out();

    nonblocking_appender_settings settings_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_told_ = 0;
};

} // namespace acaciastile
