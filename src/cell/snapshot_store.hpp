#pragma once

#include "cell/cell_state.hpp"
#include "cell/snapshot_writer.hpp"
#include "cell/stream_reader.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace acaciastile
{

struct snapshot_store_settings
{
    snapshot_writer_settings writer;
    milliseconds index_interval{10'000}; ///< Between reads of the index.
    milliseconds retry_interval{1'000};
    std::size_t page_bytes = 512 * 1024;
};

/// The newest complete snapshot known to this instance.
struct known_snapshot
{
    snapshot_notice notice;
    instant heard_at{};
    bool seen_appear = false; ///< False if it predates this instance.
};

/// The snapshots of the cell's state in the log. A snapshot is valid only if it
/// has an entry in the index; chunks without one are left over from a writer
/// that stopped midway.
class snapshot_store
{
public:
    /// `writer_id` becomes part of the ids of the snapshots written and must be
    /// unique to the process.
    [[nodiscard]] static std::unique_ptr<snapshot_store> create(
        log_service& log,
        snapshot_store_settings settings,
        std::string writer_id,
        std::uint64_t seed);

    virtual ~snapshot_store() = default;

    /// Writes a snapshot of the state. `done` receives the last offset that it
    /// covers. Errors: those of `snapshot_writer::write`.
    virtual void write(
        instant now, const cell_state& state, completion<log_offset> done) = 0;
    [[nodiscard]] virtual bool writing() const noexcept = 0;

    /// Loads the complete snapshot with the highest covered offset above
    /// `newer_than`, skipping those that are corrupt or expired. Waits while
    /// the log is unavailable. `done` receives an empty value if there is no
    /// such snapshot. A second call replaces the first, whose `done` is never
    /// called.
    virtual void load(
        instant now,
        log_offset newer_than,
        completion<std::optional<cell_state>> done) = 0;

    virtual void tick(instant now) = 0;

    [[nodiscard]] virtual const std::optional<known_snapshot>&
    newest() const noexcept = 0;

    /// True if the last read of the index failed or timed out.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
