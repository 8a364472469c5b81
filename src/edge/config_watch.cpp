#include "edge/config_watch.hpp"

#include <algorithm>

namespace acaciastile::edge
{

std::shared_ptr<config_watch> config_watch::create(
    config_watch_settings settings,
    fleet::metadata_store& store,
    fleet::external_records& foreign,
    fleet::scheduler_clock& clock,
    event_sink& events)
{
    return std::shared_ptr<config_watch>(
        new config_watch(settings, store, foreign, clock, events));
}

config_watch::config_watch(
    config_watch_settings settings,
    fleet::metadata_store& store,
    fleet::external_records& foreign,
    fleet::scheduler_clock& clock,
    event_sink& events)
    : settings_(settings),
      store_(store),
      foreign_(foreign),
      clock_(clock),
      events_(events)
{
}

bool config_watch::is_fresh() const
{
    return age() <= settings_.max_age;
}

milliseconds config_watch::age() const
{
    return clock_.now_with_suspends() - confirmed_at_;
}

void config_watch::learn_from_peer(
    std::uint64_t version, const std::string& text, milliseconds age)
{
    if (!text.empty())
    {
        apply(text, "another VM");
    }
    if (loaded_ && config_.version() >= version)
    {
        confirmed_at_ =
            std::max(confirmed_at_, clock_.now_with_suspends() - age);
    }
}

void config_watch::retry_later(void (config_watch::*work)())
{
    clock_.after(
        settings_.retry_delay,
        [weak = weak_from_this(), work]
        {
            if (const auto self = weak.lock())
            {
                ((*self).*work)();
            }
        });
}

void config_watch::load()
{
    const instant requested_at = clock_.now_with_suspends();
    store_.read_newest(
        foreign_.configuration_topic(),
        {},
        [weak = weak_from_this(),
         requested_at](const result<fleet::store_page>& page)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (!page)
            {
                self->report_failure(page.error());
                self->retry_later(&config_watch::load);
                return;
            }
            self->apply_newest(*page);
            self->next_offset_ = page->end;
            self->confirmed_at_ = requested_at;
            self->report_success();
            self->first_read_done_ = true;
            self->read_now();
            self->follow();
        });
}

void config_watch::follow()
{
    const instant requested_at = clock_.now_with_suspends();
    store_.read(
        foreign_.configuration_topic(),
        next_offset_,
        stale_reported_ ? milliseconds::zero() : settings_.read_wait,
        [weak = weak_from_this(),
         requested_at](const result<fleet::store_page>& page)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (!page)
            {
                const bool expired =
                    page.error().code == refusal_code::offset_expired;
                if (!expired)
                {
                    self->report_failure(page.error());
                }
                self->retry_later(
                    expired ? &config_watch::load : &config_watch::follow);
                return;
            }
            self->apply_tail(*page);
            if (page->is_last())
            {
                self->confirmed_at_ = requested_at;
            }
            self->report_success();
            self->follow();
        });
}

void config_watch::refresh(std::function<void()> done)
{
    refreshing_.push_back(std::move(done));
    read_now();
}

void config_watch::read_now()
{
    // Before the first read is answered it is not known where to read on.
    if (!first_read_done_ || read_now_in_flight_ || refreshing_.empty())
    {
        return;
    }
    read_now_in_flight_ = true;
    store_.read(
        foreign_.configuration_topic(),
        next_offset_,
        milliseconds::zero(),
        [weak = weak_from_this(),
         served = refreshing_.size()](const result<fleet::store_page>& page)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->read_now_in_flight_ = false;
            if (!page)
            {
                // After expired records `follow` reloads, and calls this again.
                self->retry_later(&config_watch::read_now);
                return;
            }
            self->apply_tail(*page);
            if (page->is_last())
            {
                self->finish_refresh(served);
            }
            self->read_now();
        });
}

void config_watch::finish_refresh(std::size_t served)
{
    const auto end = refreshing_.begin() + static_cast<std::ptrdiff_t>(served);
    const std::vector<std::function<void()>> done(refreshing_.begin(), end);
    refreshing_.erase(refreshing_.begin(), end);
    for (const std::function<void()>& each : done)
    {
        each();
    }
}

void config_watch::apply_newest(const fleet::store_page& page)
{
    std::vector<fleet::evacuation_table::entry> evacuated;
    for (const fleet::store_record& record : page.records)
    {
        if (const auto name = foreign_.evacuated_data_centre(record.key))
        {
            evacuated.push_back({*name, record.offset, !record.value.empty()});
        }
        apply_record(record);
    }
    if (evacuations_.load(evacuated, page.end) && evacuations_changed_)
    {
        evacuations_changed_();
    }
}

void config_watch::apply_tail(const fleet::store_page& page)
{
    bool changed = false;
    for (const fleet::store_record& record : page.records)
    {
        if (const auto name = foreign_.evacuated_data_centre(record.key))
        {
            changed |= evacuations_.apply(
                {*name, record.offset, !record.value.empty()});
        }
        apply_record(record);
    }
    next_offset_ = std::max(next_offset_, page.end);
    if (changed && evacuations_changed_)
    {
        evacuations_changed_();
    }
}

void config_watch::apply_record(const fleet::store_record& record)
{
    if (record.key != foreign_.configuration_key() || record.value.empty())
    {
        return;
    }
    apply(record.value, "the store");
}

void config_watch::apply(const std::string& text, std::string_view source)
{
    auto decoded = foreign_.read_configuration(text);
    if (!decoded)
    {
        events_.emit(
            {event_number::record_unreadable,
             {{"topic", foreign_.configuration_topic()},
              {"reason", decoded.error().message}}});
        return;
    }
    if (loaded_ && decoded->version() <= config_.version())
    {
        return;
    }
    config_ = *std::move(decoded);
    text_ = text;
    loaded_ = true;
    events_.emit(
        {event_number::fleet_configuration,
         {{"version", std::to_string(config_.version())},
          {"source", std::string(source)},
          {"queues", std::to_string(config_.queues().size())},
          {"accounts", std::to_string(config_.accounts().size())}}});
}

void config_watch::report_success()
{
    if (stale_reported_)
    {
        stale_reported_ = false;
        events_.emit(
            {event_number::store_regained,
             {{"topic", foreign_.configuration_topic()}}});
    }
}

void config_watch::report_failure(const error& fault)
{
    if (!stale_reported_)
    {
        stale_reported_ = true;
        events_.emit(
            {event_number::configuration_stale,
             {{"version", std::to_string(config_.version())},
              {"reason", fault.message}}});
    }
}

} // namespace acaciastile::edge
