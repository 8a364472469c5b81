#pragma once

#include "domain/event_sink.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <functional>
#include <memory>

namespace acaciastile
{

struct stream_reader_settings
{
    milliseconds poll_interval{200};  ///< Between reads once at the head.
    milliseconds retry_interval{500}; ///< After a failed read.
    milliseconds read_timeout{5'000}; ///< Then the read is abandoned.
    std::size_t page_bytes = 256 * 1024;
    /// Age of the data in the last answer when its read was sent, for a log
    /// that may answer from the cache of another process. Empty means zero.
    std::function<milliseconds()> answer_age;
};

/// Polls one stream from an offset on and delivers each entry once, in order.
/// At most one read is in flight; a late answer to an abandoned read is
/// ignored.
class stream_reader
{
public:
    using entry_handler = std::function<void(const log_entry&)>;
    /// Called if the next offset is no longer retained, with the oldest one
    /// that is, or zero if unknown.
    using expiry_handler = std::function<void(log_offset first_kept)>;

    [[nodiscard]] static std::unique_ptr<stream_reader> create(
        log_service& log,
        stream_name stream,
        log_offset from,
        stream_reader_settings settings,
        entry_handler on_entry,
        expiry_handler on_expired);

    virtual ~stream_reader() = default;

    virtual void tick(instant now) = 0;
    /// Reads at the next tick instead of waiting for the poll interval. No
    /// effect after a failed read, which is retried at its own interval.
    virtual void poll_soon() = 0;
    /// Continues from another offset, for example after an expiry.
    virtual void restart(log_offset from) = 0;

    [[nodiscard]] virtual log_offset next() const noexcept = 0;
    /// True if the last answered read reached the head.
    [[nodiscard]] virtual bool at_head() const noexcept = 0;
    /// Start time of the last read that reached the head, minus the age of its
    /// answer, or `instant::min()` if none did. Later entries of the log may be
    /// missing.
    [[nodiscard]] virtual instant last_contact() const noexcept = 0;
    /// True if the last read failed or timed out.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
