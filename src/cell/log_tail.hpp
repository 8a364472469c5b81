#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <deque>

namespace acaciastile
{

/// The newest entries of one stream as this process has read them, for peers
/// that cannot reach the log. Bounded by bytes; the entries are consecutive.
class log_tail
{
public:
    explicit log_tail(std::size_t most_bytes) : most_bytes_(most_bytes) {}

    /// Takes the entries of a page that came from the log or from a peer.
    /// `as_of` is the instant at which the page was known to hold all that
    /// the log had; `instant::min()` where it did not reach the head.
    void add(const log_page& page, instant as_of);

    /// The kept entries from an offset on. `head` is what follows the newest
    /// entry kept. Errors: `offset_expired` where older ones were wanted.
    [[nodiscard]] result<log_page>
    read(log_offset from, std::size_t limit_bytes) const;

    /// All that the log had at this instant has been read; `instant::min()`
    /// where that was never so.
    [[nodiscard]] instant contact() const noexcept { return contact_; }
    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    void take(const log_entry& entry);

    std::size_t most_bytes_;
    std::size_t bytes_ = 0;
    std::deque<log_entry> entries_;
    log_offset next_ = 1; ///< Follows the newest entry read.
    instant contact_ = instant::min();
};

} // namespace acaciastile
