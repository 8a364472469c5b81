#pragma once

#include "cell/backoff.hpp"
#include "cell/snapshot_format.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace acaciastile
{

struct snapshot_writer_settings
{
    std::size_t chunk_bytes = 128 * 1024; ///< Maximum per append.
    milliseconds append_interval{200};    ///< Minimum time between appends.
    milliseconds append_timeout{5'000};
    milliseconds patience{120'000}; ///< Then the write fails.
    backoff_settings retry{milliseconds{200}, milliseconds{5'000}};
};

/// Writes one snapshot at a time: its chunks in order, then the index entry
/// that makes it valid. An append whose answer is lost is sent again; readers
/// tolerate duplicate chunks and index entries.
class snapshot_writer
{
public:
    [[nodiscard]] static std::unique_ptr<snapshot_writer> create(
        log_service& log,
        snapshot_writer_settings settings,
        std::uint64_t seed);

    virtual ~snapshot_writer() = default;

    /// Starts a write. `done` receives the index entry once it is in the log.
    /// Errors: `overloaded` if a write is in progress; `log_unavailable` with
    /// `may_have_run` after `snapshot_writer_settings::patience`.
    virtual void write(
        instant now,
        std::string id,
        log_offset covered,
        std::string encoded,
        completion<snapshot_notice> done) = 0;

    virtual void tick(instant now) = 0;
    [[nodiscard]] virtual bool busy() const noexcept = 0;
};

} // namespace acaciastile
