#pragma once

#include "platform/http/log_messages.hpp"
#include "platform/log_service.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace acaciastile::bench
{

/// Counts calls to the log and the bytes that the HTTP adapter's codec makes
/// of them.
class counting_log_service final : public log_service
{
public:
    counting_log_service(log_service& next, std::string caller)
        : next_(next), caller_(std::move(caller))
    {
    }

    void append(
        const stream_name& stream,
        std::vector<std::string> bodies,
        completion<append_receipt> done) override
    {
        ++appends;
        if (counting)
        {
            bytes += encode(log_append_message{caller_, stream, bodies}).size();
        }
        next_.append(stream, std::move(bodies), std::move(done));
    }

    void read(
        const stream_name& stream,
        log_offset from,
        std::size_t limit_bytes,
        completion<log_page> done) override
    {
        ++reads;
        if (!counting)
        {
            next_.read(stream, from, limit_bytes, std::move(done));
            return;
        }
        const log_read_message asked{caller_, stream, from, limit_bytes};
        bytes += encode(asked).size();
        next_.read(
            stream,
            from,
            limit_bytes,
            [this, done = std::move(done)](result<log_page> page)
            {
                bytes += page ? encode(*page).size() : 0;
                done(std::move(page));
            });
    }

    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0; ///< Of bodies, both ways.
    bool counting = true;    ///< Of bytes; off while time is measured.

private:
    log_service& next_;
    std::string caller_;
};

} // namespace acaciastile::bench
