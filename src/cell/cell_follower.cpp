#include "cell/cell_follower.hpp"

#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"

#include <utility>

namespace acaciastile
{

namespace
{

class log_cell_follower : public cell_follower
{
public:
    log_cell_follower(
        log_service& log,
        cell_follower_settings settings,
        std::string writer_id,
        std::uint64_t seed,
        event_sink& events,
        record_handler on_record,
        load_handler on_loaded)
        : settings_(settings),
          events_(events),
          on_record_(std::move(on_record)),
          on_loaded_(std::move(on_loaded)),
          snapshots_(snapshot_store::create(
              log, settings.snapshots, std::move(writer_id), seed)),
          reader_(stream_reader::create(
              log,
              cell_stream(),
              1,
              settings.reader,
              [this](const log_entry& entry) { take(entry); },
              [this](log_offset /*first_kept*/) { on_expired(); }))
    {
    }

    void tick(instant now) override;

    void poll_soon() override { reader_->poll_soon(); }
    void set_rank(std::size_t rank) override { rank_ = rank; }

    [[nodiscard]] const cell_state& state() const noexcept override
    {
        return state_;
    }
    [[nodiscard]] bool started() const noexcept override
    {
        return last_contact() != instant::min();
    }
    [[nodiscard]] bool at_head() const noexcept override
    {
        return phase_ == phase::following && reader_->at_head();
    }
    [[nodiscard]] instant last_contact() const noexcept override
    {
        return reader_->last_contact();
    }
    [[nodiscard]] bool failing() const noexcept override
    {
        return phase_ != phase::following || reader_->failing();
    }

private:
    enum class phase
    {
        idle,      ///< Starts a load at the first tick from `load_at_` on.
        loading,   ///< Waits for the snapshot store to answer.
        following, ///< Reads the cell stream.
    };

    void begin_load();
    void on_load_answer(std::optional<cell_state> loaded);
    void follow();
    void on_expired();
    void take(const log_entry& entry);
    void report_contact();
    void note_head();
    void write_if_due();
    void on_written(const result<log_offset>& covered);
    [[nodiscard]] snapshot_need need() const;
    void
    emit(event_number number, std::string_view name, std::string value) const;

    cell_follower_settings settings_;
    event_sink& events_;
    record_handler on_record_;
    load_handler on_loaded_;
    cell_state state_;
    std::unique_ptr<snapshot_store> snapshots_;
    std::unique_ptr<stream_reader> reader_;
    phase phase_ = phase::idle;
    instant now_{};
    instant load_at_ = instant::min();
    instant head_since_ = instant::min(); ///< When the head was first reached.
    std::size_t rank_ = 0;
    bool reported_failing_ = false;
    bool reported_missing_ = false;
};

void log_cell_follower::tick(instant now)
{
    now_ = now;
    snapshots_->tick(now);
    if (phase_ == phase::idle && now >= load_at_)
    {
        begin_load();
    }
    if (phase_ == phase::following)
    {
        reader_->tick(now);
    }
    report_contact();
    if (phase_ == phase::following)
    {
        note_head();
        write_if_due();
    }
}

void log_cell_follower::begin_load()
{
    phase_ = phase::loading;
    snapshots_->load(
        now_,
        state_.applied_through(),
        [this](result<std::optional<cell_state>> loaded)
        { on_load_answer(loaded ? std::move(*loaded) : std::nullopt); });
}

void log_cell_follower::on_load_answer(std::optional<cell_state> loaded)
{
    if (loaded)
    {
        state_ = std::move(*loaded);
        emit(
            event_number::snapshot_loaded,
            "covered",
            std::to_string(state_.applied_through()));
        follow();
        on_loaded_();
        return;
    }
    follow();
}

void log_cell_follower::follow()
{
    phase_ = phase::following;
    reader_->restart(state_.applied_through() + 1);
}

/// The next offset is no longer retained, so only a newer snapshot can close
/// the gap. The first load after an expiry starts immediately; further ones are
/// spaced by `reload_interval`.
void log_cell_follower::on_expired()
{
    phase_ = phase::idle;
    const bool repeated = load_at_ > now_ - settings_.reload_interval &&
                          load_at_ != instant::min();
    if (repeated && !reported_missing_)
    {
        reported_missing_ = true;
        emit(
            event_number::snapshot_missing,
            "wanted",
            std::to_string(state_.applied_through() + 1));
    }
    load_at_ = repeated ? now_ + settings_.reload_interval : now_;
}

void log_cell_follower::take(const log_entry& entry)
{
    auto record = decode_cell_record(entry.body);
    if (!record)
    {
        state_.skip(entry.offset);
        emit(
            event_number::record_unreadable,
            "offset",
            std::to_string(entry.offset));
        return;
    }
    const fold_outcome outcome = state_.apply(entry.offset, *record);
    on_record_(*record, outcome);
}

void log_cell_follower::report_contact()
{
    const bool failing =
        phase_ == phase::following ? reader_->failing() : snapshots_->failing();
    if (failing != reported_failing_)
    {
        reported_failing_ = failing;
        emit(
            failing ? event_number::log_down : event_number::log_up,
            "folded",
            std::to_string(state_.applied_through()));
    }
}

void log_cell_follower::note_head()
{
    if (!reader_->at_head())
    {
        return;
    }
    reported_missing_ = false;
    if (head_since_ == instant::min())
    {
        head_since_ = now_;
    }
}

snapshot_need log_cell_follower::need() const
{
    const auto& newest = snapshots_->newest();
    snapshot_need made;
    made.applied = state_.applied_through();
    made.at_head = reader_->at_head() && !reader_->failing();
    made.rank = rank_;
    made.covered = newest ? newest->notice.covered : 0;
    made.age_known = newest && newest->seen_appear;
    const instant since = made.age_known ? newest->heard_at : head_since_;
    made.age = since == instant::min() ? milliseconds{0} : now_ - since;
    return made;
}

void log_cell_follower::write_if_due()
{
    if (snapshots_->writing() || !due(need(), settings_.policy))
    {
        return;
    }
    snapshots_->write(
        now_,
        state_,
        [this](const result<log_offset>& covered) { on_written(covered); });
}

void log_cell_follower::on_written(const result<log_offset>& covered)
{
    if (covered)
    {
        emit(
            event_number::snapshot_written,
            "covered",
            std::to_string(*covered));
        return;
    }
    emit(event_number::snapshot_failed, "reason", covered.error().message);
}

void log_cell_follower::emit(
    event_number number, std::string_view name, std::string value) const
{
    events_.emit(event{number, {{name, std::move(value)}}});
}

} // namespace

std::unique_ptr<cell_follower> cell_follower::create(
    log_service& log,
    cell_follower_settings settings,
    std::string writer_id,
    std::uint64_t seed,
    event_sink& events,
    record_handler on_record,
    load_handler on_loaded)
{
    return std::make_unique<log_cell_follower>(
        log,
        settings,
        std::move(writer_id),
        seed,
        events,
        std::move(on_record),
        std::move(on_loaded));
}

} // namespace acaciastile
