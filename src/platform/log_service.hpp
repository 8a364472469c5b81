#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "platform/completion.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace acaciastile
{

/// Name of one stream of the platform's log.
using stream_name = tagged_name<struct stream_tag>;

/// One entry as kept by the log.
struct log_entry
{
    log_offset offset = 0;
    std::string body;
};

/// Where the entries of one append were put: consecutive offsets.
struct append_receipt
{
    log_offset first = 0;
    std::size_t count = 0;
};

/// A part of a stream. `next` is where to read on, `head` the offset that the
/// next append will get, `first_kept` the oldest offset still kept.
struct log_page
{
    std::vector<log_entry> entries;
    log_offset next = 0;
    log_offset head = 0;
    log_offset first_kept = 0;
};

/// The platform's append-only log. Offsets of a stream start at 1.
class log_service
{
public:
    virtual ~log_service() = default;

    /// Appends all bodies as one append, or none of them.
    /// Errors: `log_unavailable` with `not_run`, or with `may_have_run` where
    /// the answer was lost; only reading settles the latter.
    virtual void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) = 0;

    /// Reads from an offset on, at most about `limit_bytes`.
    /// Errors: `offset_expired` where `from` is older than the first kept
    /// (the message names it), `log_unavailable`.
    virtual void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) = 0;
};

} // namespace acaciastile
