#pragma once

#include "cell/cell_state.hpp"
#include "cell/snapshot_policy.hpp"
#include "cell/snapshot_store.hpp"
#include "cell/stream_reader.hpp"
#include "domain/event_sink.hpp"
#include "domain/instant.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace acaciastile
{

struct cell_follower_settings
{
    stream_reader_settings reader{.poll_interval = milliseconds{500}};
    snapshot_store_settings snapshots;
    snapshot_policy policy;
    /// Delay between load attempts while the log retains neither the next
    /// offset to read nor a snapshot that covers it.
    milliseconds reload_interval{5'000};
};

/// Replicates the state of the cell from the log. Loads the newest snapshot,
/// applies the entries after it and keeps polling for more. Loads a newer
/// snapshot if the next offset has expired, and writes snapshots when they are
/// due. The state never moves backwards: a snapshot is ignored unless it
/// covers more than what is already applied.
class cell_follower
{
public:
    /// Called for each record after it has been applied to the state.
    using record_handler =
        std::function<void(const cell_record&, const fold_outcome&)>;
    /// Called after a snapshot has replaced the state. The record handler is
    /// not called for the records that the snapshot skipped over.
    using load_handler = std::function<void()>;

    /// `writer_id` must be unique to the process. The log and the sink must
    /// outlive the follower. Neither handler may destroy the follower.
    [[nodiscard]] static std::unique_ptr<cell_follower> create(
        log_service& log,
        cell_follower_settings settings,
        std::string writer_id,
        std::uint64_t seed,
        event_sink& events,
        record_handler on_record,
        load_handler on_loaded);

    virtual ~cell_follower() = default;

    virtual void tick(instant now) = 0;
    /// Reads at the next tick instead of waiting for the poll interval.
    virtual void poll_soon() = 0;
    /// Sets the zero-based position of this instance among the live ones. The
    /// instance at position zero writes the snapshots.
    virtual void set_rank(std::size_t rank) = 0;

    [[nodiscard]] virtual const cell_state& state() const noexcept = 0;
    /// True once the head of the log has been reached: the state is then
    /// complete as of `last_contact`.
    [[nodiscard]] virtual bool started() const noexcept = 0;
    /// True if the last answered read reached the head.
    [[nodiscard]] virtual bool at_head() const noexcept = 0;
    /// Start time of the last read that reached the head, or
    /// `instant::min()` if none has.
    [[nodiscard]] virtual instant last_contact() const noexcept = 0;
    /// True if the last read failed or timed out, or if a snapshot load is
    /// pending or in progress.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
