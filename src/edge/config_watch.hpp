#pragma once

#include "domain/event_sink.hpp"
#include "fleet/ports.hpp"

#include <memory>

namespace acaciastile::edge
{

struct config_watch_settings
{
    milliseconds wait{800};  ///< Of one read of the operators' topic.
    milliseconds retry{120}; ///< After a failed read.
    /// Since the last successful read, until the configuration counts as
    /// unconfirmed.
    milliseconds fresh{1'700};
};

/// Follows the operators' configuration. A version in force is never replaced
/// by a lower one.
class config_watch : public std::enable_shared_from_this<config_watch>
{
public:
    [[nodiscard]] static std::shared_ptr<config_watch> create(
        config_watch_settings settings,
        fleet::metadata_store& store,
        fleet::external_records& foreign,
        fleet::scheduler_clock& clock,
        event_sink& events);

    void start() { load(); }

    /// Null while none is known.
    [[nodiscard]] const fleet::configuration* current() const noexcept
    {
        return known_ ? &config_ : nullptr;
    }
    [[nodiscard]] bool is_fresh() const;
    /// Since the store last confirmed the version in force.
    [[nodiscard]] milliseconds age() const;
    /// The version in force as it is stored.
    [[nodiscard]] const std::string& stored_text() const noexcept
    {
        return text_;
    }
    /// Another VM tells which version is in force, confirmed `age` ago.
    /// `text` is empty where this VM has that version.
    void
    learn(std::uint64_t version, const std::string& text, milliseconds age);

private:
    config_watch(
        config_watch_settings settings,
        fleet::metadata_store& store,
        fleet::external_records& foreign,
        fleet::scheduler_clock& clock,
        event_sink& events);

    void load();
    void follow();
    void take(const fleet::store_record& record);
    void apply(const std::string& text, std::string_view source);
    void note_success();
    void note_failure(const error& fault);
    void later(void (config_watch::*work)());

    config_watch_settings settings_;
    fleet::metadata_store& store_;
    fleet::external_records& foreign_;
    fleet::scheduler_clock& clock_;
    event_sink& events_;
    fleet::configuration config_;
    std::string text_;
    bool known_ = false;
    bool stale_told_ = false;
    log_offset next_ = 0;
    instant confirmed_{}; ///< With suspends.
};

} // namespace acaciastile::edge
