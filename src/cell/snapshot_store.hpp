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
    milliseconds index_interval{10'000}; ///< Between looks for new snapshots.
    milliseconds retry_interval{1'000};
    std::size_t page_bytes = 512 * 1024;
};

/// The newest complete snapshot that an instance knows of.
struct known_snapshot
{
    snapshot_notice notice;
    instant heard_at{};
    bool seen_appear = false; ///< False: it was there before this instance.
};

/// The snapshots of the cell's state in the log. An entry of the index makes
/// a snapshot count; chunks without one are left by a writer that ended.
class snapshot_store
{
public:
    /// `writer_id` is part of the ids of the snapshots written here and must
    /// differ for each process.
    [[nodiscard]] static std::unique_ptr<snapshot_store> create(
        log_service& log,
        snapshot_store_settings settings,
        std::string writer_id,
        std::uint64_t seed);

    virtual ~snapshot_store() = default;

    /// Writes that state. `done` gets the offset covered. Errors: those of
    /// `snapshot_writer::write`.
    virtual void write(
        instant now, const cell_state& state, completion<log_offset> done) = 0;
    [[nodiscard]] virtual bool writing() const noexcept = 0;

    /// Loads the complete snapshot that covers the most, if it covers more
    /// than `newer_than`; one that is damaged, expired or covers less is
    /// passed over. Waits while the log is down. `done` gets nothing where
    /// there is none. A second call replaces the first, whose `done` is
    /// dropped.
    virtual void load(
        instant now,
        log_offset newer_than,
        completion<std::optional<cell_state>> done) = 0;

    virtual void tick(instant now) = 0;

    [[nodiscard]] virtual const std::optional<known_snapshot>&
    newest() const noexcept = 0;

    /// True where the last read of the index failed or timed out.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
