#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <deque>

namespace acaciastile
{

/// Cache of the newest entries of one stream that this process has read, served
/// to peers that cannot reach the log. Bounded in bytes; the entries have
/// consecutive offsets.
class log_tail
{
public:
    explicit log_tail(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    /// Adds the entries of a page that came from the log or from a peer.
    /// `as_of` is a time at which the log is known to have held nothing newer
    /// than the head of the page. It is ignored if the page ends before that
    /// head.
    void add(const log_page& page, instant as_of);

    /// Returns the cached entries from an offset on. The `head` of the page is
    /// the offset after the newest cached entry. Errors: `offset_expired` if
    /// the offset is older than the cache.
    [[nodiscard]] result<log_page>
    read(log_offset from, std::size_t limit_bytes) const;

    /// The latest time as of which everything in the log has been read, or
    /// `instant::min()` if the head was never reached.
    [[nodiscard]] instant contact() const noexcept { return contact_; }
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    void take(const log_entry& entry);

    std::size_t most_bytes_;
    std::size_t bytes_ = 0;
    std::deque<log_entry> entries_;
    log_offset next_ = 1; ///< Offset after the newest entry read.
    instant contact_ = instant::min();
};

} // namespace acaciastile
