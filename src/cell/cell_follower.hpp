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
    /// Between tries to load where the log keeps neither the wanted offset
    /// nor a snapshot that covers it.
    milliseconds reload_interval{5'000};
};

/// Keeps the state of the cell in step with the log: starts from the newest
/// snapshot and the tail, goes on by reading, loads a newer snapshot where
/// the next offset has expired, and writes snapshots when they are due. The
/// state never goes back: a snapshot that does not cover more than what is
/// applied is not taken.
class cell_follower
{
public:
    /// Called for each record, once it is folded.
    using record_handler =
        std::function<void(const cell_record&, const fold_outcome&)>;
    /// Called when a snapshot has replaced the state: records between the
    /// state before and after were not handed out one by one.
    using load_handler = std::function<void()>;

    /// `writer_id` must differ for each process. The log and the sink must
    /// outlive the follower. Neither handler may destroy it.
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
    /// Reads at the next tick, without waiting for the interval.
    virtual void poll_soon() = 0;
    /// Place of this instance in the order of those alive, from zero; the
    /// first one writes snapshots.
    virtual void set_rank(std::size_t rank) = 0;

    [[nodiscard]] virtual const cell_state& state() const noexcept = 0;
    /// True where a start has reached the head at least once: the state is
    /// whole as of `last_contact`.
    [[nodiscard]] virtual bool started() const noexcept = 0;
    /// True where the last answered read reached the head.
    [[nodiscard]] virtual bool at_head() const noexcept = 0;
    /// Start of the last read that reached the head; `instant::min()` where
    /// there was none.
    [[nodiscard]] virtual instant last_contact() const noexcept = 0;
    /// True where the last read failed or timed out.
    [[nodiscard]] virtual bool failing() const noexcept = 0;
};

} // namespace acaciastile
