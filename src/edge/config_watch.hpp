#pragma once

#include "domain/event_sink.hpp"
#include "fleet/evacuations.hpp"
#include "fleet/ports.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace acaciastile::edge
{

/// Timing of a `config_watch`.
struct config_watch_settings
{
    milliseconds read_wait{800};   ///< Long-poll time of one read.
    milliseconds retry_delay{120}; ///< Delay after a failed read.
    /// The configuration counts as stale if it was not confirmed by the store
    /// within this time.
    milliseconds max_age{1'700};
};

/// Follows the operators' records in the metadata store: their configuration,
/// whose current version is never replaced by a lower one, and the evacuations
/// of data centres.
class config_watch final : public fleet::operator_requests,
                           public std::enable_shared_from_this<config_watch>
{
public:
    [[nodiscard]] static std::shared_ptr<config_watch> create(
        config_watch_settings settings,
        fleet::metadata_store& store,
        fleet::external_records& foreign,
        fleet::scheduler_clock& clock,
        event_sink& events);

    /// Starts to read the configuration and to follow its changes.
    void start() { load(); }

    /// The current configuration; null until the first one was read.
    [[nodiscard]] const fleet::configuration* current() const noexcept
    {
        return loaded_ ? &config_ : nullptr;
    }
    /// True if the store confirmed the current version within `max_age`.
    [[nodiscard]] bool is_fresh() const;
    /// Time since the store last confirmed the current version.
    [[nodiscard]] milliseconds age() const;
    /// The current version in its stored, encoded form.
    [[nodiscard]] const std::string& stored_text() const noexcept
    {
        return text_;
    }
    [[nodiscard]] const fleet::evacuation_table& evacuations() const override
    {
        return evacuations_;
    }
    void refresh(std::function<void()> done) override;
    /// Called after each change of `evacuations`.
    void on_evacuations_changed(std::function<void()> listener)
    {
        evacuations_changed_ = std::move(listener);
    }

    /// Applies what another VM reports: the version that the store confirmed
    /// `age` ago, and its encoded form, which is empty if this VM already has
    /// that version.
    void learn_from_peer(
        std::uint64_t version, const std::string& text, milliseconds age);

private:
    config_watch(
        config_watch_settings settings,
        fleet::metadata_store& store,
        fleet::external_records& foreign,
        fleet::scheduler_clock& clock,
        event_sink& events);

    void load();
    void follow();
    /// Reads once, without waiting for new records, for `refresh`.
    void read_now();
    /// Calls the first `served` waiting callers of `refresh`.
    void finish_refresh(std::size_t served);
    /// Applies the newest record of each key.
    void apply_newest(const fleet::store_page& page);
    /// Applies records that continue the log.
    void apply_tail(const fleet::store_page& page);
    void apply_record(const fleet::store_record& record);
    void apply(const std::string& text, std::string_view source);
    void report_success();
    void report_failure(const error& fault);
    void retry_later(void (config_watch::*work)());

    config_watch_settings settings_;
    fleet::metadata_store& store_;
    fleet::external_records& foreign_;
    fleet::scheduler_clock& clock_;
    event_sink& events_;
    fleet::configuration config_;
    std::string text_;
    bool loaded_ = false;
    bool stale_reported_ = false;
    log_offset next_offset_ = 0;
    fleet::evacuation_table evacuations_;
    std::function<void()> evacuations_changed_;
    std::vector<std::function<void()>> refreshing_;
    bool read_now_in_flight_ = false;
    bool first_read_done_ = false;
    instant confirmed_at_{}; ///< On the clock that includes suspends.
};

} // namespace acaciastile::edge
