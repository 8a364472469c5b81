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
    milliseconds poll_interval{200};  ///< Between reads at the head.
    milliseconds retry_interval{500}; ///< After a failed read.
    milliseconds read_timeout{5'000}; ///< A read without answer is dropped.
    std::size_t page_bytes = 256 * 1024;
    /// How old an answer was when it came, beyond its own call: for a log
    /// that may answer out of another process's memory. Empty: never old.
    std::function<milliseconds()> answer_age;
};

/// Follows one stream from an offset on and hands out its entries in order,
/// each once. At most one read is in flight; a late answer of a dropped read
/// is ignored.
class stream_reader
{
public:
    using entry_handler = std::function<void(const log_entry&)>;
    /// Told when the wanted offset is no longer kept, with the oldest kept.
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
    /// Reads at the next tick, without waiting for the interval.
    virtual void poll_soon() = 0;
    /// Goes on from another offset, after an expiry.
    virtual void restart(log_offset from) = 0;

    [[nodiscard]] virtual log_offset next() const noexcept = 0;
    /// True where the last answered read reached the head.
    [[nodiscard]] virtual bool at_head() const noexcept = 0;
    /// Start of the last read that reached the head, less the age of its
    /// answer; nothing is known of the log after that instant.
    /// `instant::min()` where there was none.
    [[nodiscard]] virtual instant last_contact() const noexcept = 0;
    /// True where the last read failed or timed out.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
