#include "fleet/leadership.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

std::shared_ptr<leadership> leadership::create(
    leadership_settings settings,
    metadata_store& store,
    scheduler_clock& clock,
    event_sink& events,
    leadership_listener& listener,
    std::uint64_t seed)
{
    return std::shared_ptr<leadership>(new leadership(
        std::move(settings), store, clock, events, listener, seed));
}

leadership::leadership(
    leadership_settings settings,
    metadata_store& store,
    scheduler_clock& clock,
    event_sink& events,
    leadership_listener& listener,
    std::uint64_t seed)
    : settings_(std::move(settings)),
      store_(store),
      clock_(clock),
      events_(events),
      listener_(listener),
      random_(seed),
      nonce_(settings_.vm.str() + "/" + std::to_string(random_()))
{
}

milliseconds leadership::random_jitter()
{
    std::uniform_int_distribution<milliseconds::rep> distribution(
        0, settings_.max_jitter.count());
    return milliseconds(distribution(random_));
}

void leadership::run_later(milliseconds delay, void (leadership::*member)())
{
    clock_.after(
        delay,
        [weak = weak_from_this(), member]
        {
            if (const auto self = weak.lock())
            {
                ((*self).*member)();
            }
        });
}

void leadership::start()
{
    last_heard_ = clock_.now();
    read_topic();
}

milliseconds leadership::current_owner_timeout() const
{
    return owner_ && owner_->token == unresponsive_token_
               ? settings_.unresponsive_owner_timeout
               : settings_.owner_timeout;
}

milliseconds leadership::read_wait() const
{
    if (!store_readable_)
    {
        return milliseconds::zero();
    }
    const milliseconds silence = clock_.now() - last_heard_;
    for (const milliseconds limit :
         {settings_.overdue_after,
          settings_.unresponsive_owner_timeout,
          settings_.owner_timeout})
    {
        if (!is_owner() && silence < limit)
        {
            return std::min(settings_.max_read_wait, limit - silence);
        }
    }
    return settings_.max_read_wait;
}

void leadership::check_renewal_overdue()
{
    const instant now = clock_.now();
    if (!store_readable_ || !owner_ || is_owner() ||
        now - last_heard_ < settings_.overdue_after ||
        now - overdue_reported_ < settings_.overdue_repeat)
    {
        return;
    }
    overdue_reported_ = now;
    listener_.on_renewal_overdue();
}

void leadership::read_topic()
{
    store_.read(
        topic,
        next_offset_,
        read_wait(),
        [weak = weak_from_this()](result<store_page> page)
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            if (page)
            {
                self->on_page(*page);
                self->read_topic();
                return;
            }
            if (page.error().code == refusal_code::offset_expired)
            {
                self->next_offset_ =
                    first_kept(page.error(), self->next_offset_);
                self->read_topic();
                return;
            }
            if (!self->store_lost_)
            {
                self->store_lost_ = true;
                self->events_.emit(
                    {event_number::store_lost,
                     {{"topic", topic}, {"reason", page.error().message}}});
            }
            self->store_readable_ = false;
            self->run_later(
                self->settings_.retry_delay + self->random_jitter(),
                &leadership::read_topic);
        });
}

void leadership::read_without_wait()
{
    store_.read(
        topic,
        next_offset_,
        milliseconds::zero(),
        [weak = weak_from_this()](const result<store_page>& page)
        {
            // Errors are reported by the waiting read.
            if (const auto self = weak.lock(); self && page)
            {
                self->on_page(*page);
            }
        });
}

void leadership::on_page(const store_page& page)
{
    if (!store_readable_)
    {
        // The outage that stopped this VM's reads may have stopped the owner's
        // renewals too, so its timeout starts again.
        last_heard_ = clock_.now();
        store_readable_since_ = last_heard_;
        store_readable_ = true;
    }
    if (store_lost_)
    {
        store_lost_ = false;
        events_.emit({event_number::store_regained, {{"topic", topic}}});
    }
    for (const store_record& record : page.records)
    {
        if (record.offset >= next_offset_)
        {
            apply(record);
        }
    }
    next_offset_ = std::max(next_offset_, page.end);
    check_renewal_overdue();
    consider_claim();
}

void leadership::apply(const store_record& record)
{
    const result<ownership_record> decoded =
        decode_ownership_record(record.value);
    if (!decoded)
    {
        events_.emit(
            {event_number::record_unreadable,
             {{"topic", topic}, {"offset", std::to_string(record.offset)}}});
        return;
    }
    last_heard_ = clock_.now();
    unresponsive_token_ = 0;
    switch (decoded->what)
    {
    case ownership_record::kind::claim:
        if (decoded->nonce == nonce_)
        {
            own_token_ = record.offset + 1;
        }
        set_owner(
            owner_view{
                decoded->vm,
                decoded->address,
                record.offset + 1,
                decoded->strength,
                decoded->strength},
            decoded->nonce);
        if (is_owner() && claim_sent_)
        {
            listener_.on_ownership_confirmed(*claim_sent_, own_token_);
        }
        break;
    case ownership_record::kind::renewal:
        if (!owner_ || owner_->token < decoded->token)
        {
            // The store no longer retains the claim itself.
            set_owner(
                owner_view{
                    decoded->vm,
                    decoded->address,
                    decoded->token,
                    decoded->strength,
                    decoded->strength},
                decoded->nonce);
        }
        else if (owner_->token == decoded->token)
        {
            owner_->present_strength = decoded->strength;
        }
        break;
    case ownership_record::kind::release:
        if (owner_ && owner_->token == decoded->token)
        {
            set_owner(std::nullopt, {});
        }
        break;
    }
    // An earlier claim took effect with this record or never will.
    claim_sent_.reset();
}

void leadership::set_owner(
    std::optional<owner_view> owner, std::string_view nonce)
{
    const bool was_owner = is_owner();
    owner_ = std::move(owner);
    owner_is_previous_process_ =
        owner_ && owner_->vm == settings_.vm.str() && nonce != nonce_;
    owned_since_ = clock_.now();
    events_.emit(
        {event_number::owner_changed,
         {{"owner", owner_ ? owner_->vm : ""},
          {"fence", std::to_string(owner_ ? owner_->token : 0)}}});
    if (was_owner && !is_owner())
    {
        own_token_ = 0;
        listener_.on_ownership_lost();
        return;
    }
    if (!was_owner && is_owner())
    {
        renewal_failed_ = false;
        listener_.on_ownership_gained(own_token_);
        renew();
    }
}

void leadership::suspect(std::uint64_t token, suspect_reason reason)
{
    if (!owner_ || owner_->token != token || is_owner())
    {
        return;
    }
    if (reason == suspect_reason::denies_ownership &&
        clock_.now() - owned_since_ < settings_.claim_propagation)
    {
        return;
    }
    if (reason == suspect_reason::renewals_rejected &&
        (!store_readable_ ||
         clock_.now() - store_readable_since_ < settings_.min_store_uptime))
    {
        return;
    }
    if (reason == suspect_reason::unresponsive)
    {
        unresponsive_token_ = token;
        const milliseconds left =
            last_heard_ + current_owner_timeout() - clock_.now();
        run_later(
            std::max(milliseconds::zero(), left), &leadership::consider_claim);
        return;
    }
    // Lets the owner's timeout count as passed.
    last_heard_ = clock_.now() - settings_.owner_timeout;
    consider_claim();
}

bool leadership::owner_is_weak() const
{
    if (!owner_)
    {
        return false;
    }
    const milliseconds tenure = clock_.now() - owned_since_;
    const auto is_below = [&](std::uint32_t strength) {
        return present_strength() >=
               settings_.takeover_strength_ratio * strength;
    };
    return (is_below(owner_->strength) && tenure >= settings_.min_tenure) ||
           (is_below(owner_->present_strength) &&
            tenure >= settings_.min_slow_tenure);
}

std::uint32_t leadership::present_strength() const
{
    return static_cast<std::uint32_t>(settings_.strength * speed_);
}

bool leadership::may_claim() const
{
    if (is_owner() || claims_disabled_ || !store_readable_ ||
        clock_.now() < no_claim_until_)
    {
        return false;
    }
    return !owner_ || owner_is_previous_process_ ||
           clock_.now() - last_heard_ >= current_owner_timeout() ||
           owner_is_weak();
}

void leadership::consider_claim()
{
    if (claim_scheduled_ || !may_claim())
    {
        return;
    }
    claim_scheduled_ = true;
    constexpr std::uint32_t full_strength = 1'000;
    const std::uint32_t shortfall =
        full_strength - std::min(full_strength, present_strength());
    clock_.after(
        random_jitter() +
            settings_.weak_claim_delay * shortfall / full_strength,
        [weak = weak_from_this()]
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->claim_scheduled_ = false;
            if (self->may_claim())
            {
                self->claim();
            }
        });
}

ownership_record
leadership::make_record(ownership_record::kind what, std::uint64_t token) const
{
    ownership_record record;
    record.what = what;
    record.vm = settings_.vm.str();
    record.address = settings_.address;
    record.token = token;
    record.nonce = nonce_;
    record.strength = what == ownership_record::kind::renewal
                          ? present_strength()
                          : settings_.strength;
    return record;
}

void leadership::append(ownership_record record, completion<log_offset> done)
{
    append_options options;
    options.expected_end = next_offset_;
    appending_ = true;
    store_.append(
        topic,
        {{0, "", encode(record)}},
        options,
        [weak = weak_from_this(),
         done = std::move(done)](result<log_offset> stored)
        {
            if (const auto self = weak.lock())
            {
                self->appending_ = false;
                done(std::move(stored));
            }
        });
}

void leadership::read_after_conflict(const result<log_offset>& stored)
{
    if (!stored && stored.error().code == refusal_code::revision_conflict)
    {
        read_without_wait();
    }
}

void leadership::claim()
{
    if (appending_)
    {
        return;
    }
    if (!claim_sent_)
    {
        claim_sent_ = clock_.now_with_suspends();
    }
    events_.emit(
        {event_number::ownership_claimed,
         {{"silent_ms", std::to_string((clock_.now() - last_heard_).count())},
          {"at", std::to_string(next_offset_)}}});
    // The claim takes effect when this VM reads it back, even if the response
    // to the append is lost.
    append(
        make_record(ownership_record::kind::claim, 0),
        [this](const result<log_offset>& stored)
        {
            if (stored)
            {
                read_without_wait();
            }
            read_after_conflict(stored);
        });
}

void leadership::renew()
{
    if (!is_owner())
    {
        return;
    }
    const std::uint64_t token = own_token_;
    auto renew_after = [weak = weak_from_this(), token](milliseconds delay)
    {
        const auto self = weak.lock();
        if (!self)
        {
            return;
        }
        self->clock_.after(
            delay,
            [weak, token]
            {
                const auto self = weak.lock();
                if (self && self->own_token_ == token)
                {
                    self->renew();
                }
            });
    };
    if (appending_)
    {
        renew_after(settings_.retry_delay);
        return;
    }
    const instant sent = clock_.now_with_suspends();
    append(
        make_record(ownership_record::kind::renewal, token),
        [this, renew_after, sent](const result<log_offset>& stored)
        {
            renewal_failed_ =
                !stored && stored.error().code == refusal_code::log_unavailable;
            if (!stored)
            {
                events_.emit(
                    {event_number::renewal_failed,
                     {{"reason", stored.error().message},
                      {"at", std::to_string(next_offset_)}}});
            }
            if (stored)
            {
                // The append succeeded at the offset read up to, so there are
                // no unread records before it.
                next_offset_ = std::max(next_offset_, *stored + 1);
                listener_.on_ownership_confirmed(sent, *stored + 1);
                const milliseconds elapsed = clock_.now_with_suspends() - sent;
                renew_after(std::max(
                    milliseconds::zero(),
                    settings_.renewal_interval - elapsed));
                return;
            }
            read_after_conflict(stored);
            renew_after(settings_.retry_delay);
        });
}

void leadership::release(std::function<void()> done)
{
    claims_disabled_ = true;
    store_release(std::move(done));
}

void leadership::yield(std::string_view reason)
{
    if (!is_owner() || clock_.now() < no_claim_until_)
    {
        return;
    }
    events_.emit(
        {event_number::ownership_given_up, {{"reason", std::string(reason)}}});
    no_claim_until_ = clock_.now() + settings_.yield_claim_pause;
    store_release([] {});
}

void leadership::store_release(std::function<void()> done)
{
    if (!is_owner())
    {
        done();
        return;
    }
    if (appending_)
    {
        constexpr milliseconds poll_interval{10};
        clock_.after(
            poll_interval,
            [weak = weak_from_this(), done = std::move(done)]
            {
                if (const auto self = weak.lock())
                {
                    self->store_release(done);
                }
            });
        return;
    }
    append(
        make_record(ownership_record::kind::release, own_token_),
        [this, done = std::move(done)](const result<log_offset>& stored)
        {
            if (stored)
            {
                done();
                return;
            }
            // If the release was stored and its response lost, reading the
            // topic ends the retries.
            read_after_conflict(stored);
            clock_.after(
                settings_.retry_delay,
                [weak = weak_from_this(), done]
                {
                    if (const auto self = weak.lock())
                    {
                        self->store_release(done);
                    }
                });
        });
}

void leadership::step_down(std::string_view reason)
{
    if (!is_owner())
    {
        return;
    }
    events_.emit(
        {event_number::ownership_given_up, {{"reason", std::string(reason)}}});
    own_token_ = 0;
    listener_.on_ownership_lost();
}

} // namespace acaciastile::fleet
