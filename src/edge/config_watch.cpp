#include "edge/config_watch.hpp"

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
    return age() <= settings_.fresh;
}

milliseconds config_watch::age() const
{
    return clock_.now_with_suspends() - confirmed_;
}

void config_watch::learn(
    std::uint64_t version, const std::string& text, milliseconds age)
{
    if (!text.empty())
    {
        apply(text, "another VM");
    }
    if (known_ && config_.version() >= version)
    {
        confirmed_ = std::max(confirmed_, clock_.now_with_suspends() - age);
    }
}

void config_watch::later(void (config_watch::*work)())
{
    clock_.after(
        settings_.retry,
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
    const instant asked = clock_.now_with_suspends();
    store_.read_newest(
        foreign_.configuration_topic(),
        [weak = weak_from_this(), asked](const result<fleet::store_page>& page)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (!page)
            {
                self->note_failure(page.error());
                self->later(&config_watch::load);
                return;
            }
            for (const fleet::store_record& record : page->records)
            {
                self->take(record);
            }
            self->next_ = page->end;
            self->confirmed_ = asked;
            self->note_success();
            self->follow();
        });
}

void config_watch::follow()
{
    const instant asked = clock_.now_with_suspends();
    store_.read(
        foreign_.configuration_topic(),
        next_,
        stale_told_ ? milliseconds::zero() : settings_.wait,
        [weak = weak_from_this(), asked](const result<fleet::store_page>& page)
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
                    self->note_failure(page.error());
                }
                self->later(
                    expired ? &config_watch::load : &config_watch::follow);
                return;
            }
            for (const fleet::store_record& record : page->records)
            {
                self->take(record);
            }
            self->next_ = page->end;
            if (page->is_last())
            {
                self->confirmed_ = asked;
            }
            self->note_success();
            self->follow();
        });
}

void config_watch::take(const fleet::store_record& record)
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
    if (known_ && decoded->version() <= config_.version())
    {
        return;
    }
    config_ = *std::move(decoded);
    text_ = text;
    known_ = true;
    events_.emit(
        {event_number::fleet_configuration,
         {{"version", std::to_string(config_.version())},
          {"source", std::string(source)},
          {"queues", std::to_string(config_.queues().size())},
          {"accounts", std::to_string(config_.accounts().size())}}});
}

void config_watch::note_success()
{
    if (stale_told_)
    {
        stale_told_ = false;
        events_.emit(
            {event_number::store_regained,
             {{"topic", foreign_.configuration_topic()}}});
    }
}

void config_watch::note_failure(const error& fault)
{
    if (!stale_told_)
    {
        stale_told_ = true;
        events_.emit(
            {event_number::configuration_stale,
             {{"version", std::to_string(config_.version())},
              {"reason", fault.message}}});
    }
}

} // namespace acaciastile::edge
