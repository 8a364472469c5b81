#include "cell/snapshot_store.hpp"

#include "cell/snapshot_loader.hpp"
#include "cell/stream_names.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

/// Maximum number of snapshots kept as candidates for loading.
constexpr std::size_t max_candidates = 8;

bool covers_less(const snapshot_notice& left, const snapshot_notice& right)
{
    return left.covered < right.covered;
}

class log_snapshot_store : public snapshot_store
{
public:
    log_snapshot_store(
        log_service& log,
        snapshot_store_settings settings,
        std::string writer_id,
        std::uint64_t seed)
        : log_(log),
          settings_(settings),
          writer_id_(std::move(writer_id)),
          writer_(snapshot_writer::create(log, settings.writer, seed)),
          index_(stream_reader::create(
              log,
              snapshot_index_stream(),
              1,
              index_settings(settings),
              [this](const log_entry& entry) { take(entry); },
              [this](log_offset first_kept) { index_->restart(first_kept); }))
    {
    }

    void write(
        instant now,
        const cell_state& state,
        completion<log_offset> done) override;

    [[nodiscard]] bool writing() const noexcept override
    {
        return writer_->busy();
    }

    void load(
        instant now,
        log_offset newer_than,
        completion<std::optional<cell_state>> done) override;

    void tick(instant now) override;

    [[nodiscard]] const std::optional<known_snapshot>&
    newest() const noexcept override
    {
        return newest_;
    }

    [[nodiscard]] bool failing() const noexcept override
    {
        return index_->failing();
    }

private:
    static stream_reader_settings
    index_settings(const snapshot_store_settings& settings)
    {
        stream_reader_settings made;
        made.poll_interval = settings.index_interval;
        made.retry_interval = settings.retry_interval;
        return made;
    }

    void take(const log_entry& entry);
    void note_newest(const snapshot_notice& notice, bool seen_appear);
    void tick_load(instant now);
    void try_next();
    void on_read(const result<std::string>& encoded);
    void end_load(std::optional<cell_state> loaded);

    log_service& log_;
    snapshot_store_settings settings_;
    std::string writer_id_;
    std::unique_ptr<snapshot_writer> writer_;
    std::unique_ptr<stream_reader> index_;
    std::vector<snapshot_notice> candidates_; ///< By offset covered.
    std::optional<known_snapshot> newest_;
    std::unique_ptr<snapshot_loader> loader_;
    std::vector<snapshot_notice> to_try_; ///< Newest last.
    completion<std::optional<cell_state>> load_done_;
    log_offset newer_than_ = 0;
    instant load_since_{};
    bool to_try_known_ = false; ///< Index read since the load began.
    std::uint64_t written_ = 0;
    instant now_{};
};

void log_snapshot_store::write(
    instant now, const cell_state& state, completion<log_offset> done)
{
    std::string id = writer_id_ + "-" + std::to_string(++written_);
    writer_->write(
        now,
        std::move(id),
        state.applied_through(),
        state.to_snapshot(),
        [this, done = std::move(done)](const result<snapshot_notice>& written)
        {
            if (written)
            {
                note_newest(*written, true);
            }
            done(written.map([](const snapshot_notice& notice)
                             { return notice.covered; }));
        });
}

void log_snapshot_store::load(
    instant now,
    log_offset newer_than,
    completion<std::optional<cell_state>> done)
{
    newer_than_ = newer_than;
    load_done_ = std::move(done);
    load_since_ = now;
    to_try_known_ = false;
    loader_.reset();
    index_->poll_soon();
}

void log_snapshot_store::tick(instant now)
{
    now_ = now;
    writer_->tick(now);
    index_->tick(now);
    if (load_done_)
    {
        tick_load(now);
    }
}

void log_snapshot_store::tick_load(instant now)
{
    if (!to_try_known_)
    {
        if (!index_->at_head() || index_->last_contact() < load_since_)
        {
            return;
        }
        to_try_ = candidates_;
        to_try_known_ = true;
    }
    if (loader_ == nullptr)
    {
        try_next();
        return;
    }
    loader_->tick(now);
    if (loader_->outcome())
    {
        auto encoded = *loader_->outcome();
        loader_.reset();
        on_read(encoded);
    }
}

void log_snapshot_store::take(const log_entry& entry)
{
    auto notice = decode_snapshot_notice(entry.body);
    if (!notice)
    {
        return;
    }
    auto place = std::upper_bound(
        candidates_.begin(), candidates_.end(), *notice, covers_less);
    candidates_.insert(place, *notice);
    if (candidates_.size() > max_candidates)
    {
        candidates_.erase(candidates_.begin());
    }
    note_newest(*notice, index_->last_contact() != instant::min());
}

void log_snapshot_store::note_newest(
    const snapshot_notice& notice, bool seen_appear)
{
    if (!newest_ || newest_->notice.covered <= notice.covered)
    {
        newest_ = known_snapshot{notice, now_, seen_appear};
    }
}

void log_snapshot_store::try_next()
{
    if (to_try_.empty() || to_try_.back().covered <= newer_than_)
    {
        end_load(std::nullopt);
        return;
    }
    stream_reader_settings settings;
    settings.retry_interval = settings_.retry_interval;
    settings.page_bytes = settings_.page_bytes;
    loader_ = std::make_unique<snapshot_loader>(log_, to_try_.back(), settings);
}

void log_snapshot_store::on_read(const result<std::string>& encoded)
{
    const log_offset covered = to_try_.back().covered;
    to_try_.pop_back();
    if (!encoded)
    {
        return;
    }
    auto state = cell_state::from_snapshot(*encoded);
    if (state && state->applied_through() == covered)
    {
        end_load(std::move(*state));
    }
}

void log_snapshot_store::end_load(std::optional<cell_state> loaded)
{
    auto done = std::exchange(load_done_, nullptr);
    to_try_.clear();
    done(std::move(loaded));
}

} // namespace

std::unique_ptr<snapshot_store> snapshot_store::create(
    log_service& log,
    snapshot_store_settings settings,
    std::string writer_id,
    std::uint64_t seed)
{
    return std::make_unique<log_snapshot_store>(
        log, settings, std::move(writer_id), seed);
}

} // namespace acaciastile
