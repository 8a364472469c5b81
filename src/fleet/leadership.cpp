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

milliseconds leadership::draw_jitter()
{
    std::uniform_int_distribution<milliseconds::rep> drawn(
        0, settings_.jitter.count());
    return milliseconds(drawn(random_));
}

void leadership::later(milliseconds delay, void (leadership::*work)())
{
    clock_.after(
        delay,
        [weak = weak_from_this(), work]
        {
            if (const auto self = weak.lock())
            {
                ((*self).*work)();
            }
        });
}

void leadership::start()
{
    heard_ = clock_.now();
    read();
}

milliseconds leadership::patience() const
{
    return owner_ && owner_->token == silent_token_ ? settings_.doubted_takeover
                                                    : settings_.takeover;
}

milliseconds leadership::wait_for_news() const
{
    if (!read_ok_)
    {
        return milliseconds::zero();
    }
    const milliseconds silence = clock_.now() - heard_;
    for (const milliseconds limit :
         {settings_.check_after,
          settings_.doubted_takeover,
          settings_.takeover})
    {
        if (!is_owner() && silence < limit)
        {
            return std::min(settings_.read_wait, limit - silence);
        }
    }
    return settings_.read_wait;
}

void leadership::check_quiet()
{
    const instant now = clock_.now();
    if (!read_ok_ || !owner_ || is_owner() ||
        now - heard_ < settings_.check_after ||
        now - quiet_told_ < settings_.check_again)
    {
        return;
    }
    quiet_told_ = now;
    listener_.on_renewal_overdue();
}

void leadership::read()
{
    store_.read(
        topic,
        next_,
        wait_for_news(),
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
                self->read();
                return;
            }
            if (page.error().code == refusal_code::offset_expired)
            {
                self->next_ = first_kept(page.error(), self->next_);
                self->read();
                return;
            }
            if (!self->store_lost_)
            {
                self->store_lost_ = true;
                self->events_.emit(
                    {event_number::store_lost,
                     {{"topic", topic}, {"reason", page.error().message}}});
            }
            self->read_ok_ = false;
            self->later(
                self->settings_.retry + self->draw_jitter(), &leadership::read);
        });
}

void leadership::read_at_once()
{
    store_.read(
        topic,
        next_,
        milliseconds::zero(),
        [weak = weak_from_this()](const result<store_page>& page)
        {
            // The read that waits tells of failures.
            if (const auto self = weak.lock(); self && page)
            {
                self->on_page(*page);
            }
        });
}

void leadership::on_page(const store_page& page)
{
    if (!read_ok_)
    {
        // The owner may have been kept from renewing as this VM was from
        // reading; its silence counts from now.
        heard_ = clock_.now();
        read_ok_since_ = heard_;
        read_ok_ = true;
    }
    if (store_lost_)
    {
        store_lost_ = false;
        events_.emit({event_number::store_regained, {{"topic", topic}}});
    }
    for (const store_record& record : page.records)
    {
        if (record.offset >= next_)
        {
            fold(record);
        }
    }
    next_ = std::max(next_, page.end);
    check_quiet();
    consider_claim();
}

void leadership::fold(const store_record& record)
{
    const result<ownership_record> told = decode_ownership_record(record.value);
    if (!told)
    {
        events_.emit(
            {event_number::record_unreadable,
             {{"topic", topic}, {"offset", std::to_string(record.offset)}}});
        return;
    }
    heard_ = clock_.now();
    silent_token_ = 0;
    switch (told->what)
    {
    case ownership_record::kind::claim:
        if (told->nonce == nonce_)
        {
            own_token_ = record.offset + 1;
        }
        set_owner(
            owner_view{
                told->vm, told->address, record.offset + 1, told->strength},
            told->nonce);
        break;
    case ownership_record::kind::renewal:
        if (!owner_ || owner_->token < told->token)
        {
            // The claim itself has left the store's history.
            set_owner(
                owner_view{
                    told->vm, told->address, told->token, told->strength},
                told->nonce);
        }
        break;
    case ownership_record::kind::release:
        if (owner_ && owner_->token == told->token)
        {
            set_owner(std::nullopt, {});
        }
        break;
    }
}

void leadership::set_owner(
    std::optional<owner_view> owner, std::string_view nonce)
{
    const bool was = is_owner();
    owner_ = std::move(owner);
    owner_is_former_life_ =
        owner_ && owner_->vm == settings_.vm.str() && nonce != nonce_;
    owned_since_ = clock_.now();
    events_.emit(
        {event_number::owner_changed,
         {{"owner", owner_ ? owner_->vm : ""},
          {"fence", std::to_string(owner_ ? owner_->token : 0)}}});
    if (was && !is_owner())
    {
        own_token_ = 0;
        listener_.on_ownership_lost();
        return;
    }
    if (!was && is_owner())
    {
        renewal_failed_ = false;
        listener_.on_ownership_gained(own_token_);
        renew();
    }
}

void leadership::suspect(std::uint64_t token, suspect_reason why)
{
    if (!owner_ || owner_->token != token || is_owner())
    {
        return;
    }
    if (why == suspect_reason::denies_ownership &&
        clock_.now() - owned_since_ < settings_.claim_travel)
    {
        return;
    }
    if (why == suspect_reason::renewals_rejected &&
        (!read_ok_ ||
         clock_.now() - read_ok_since_ < settings_.cut_off_patience))
    {
        return;
    }
    if (why == suspect_reason::unresponsive)
    {
        silent_token_ = token;
        const milliseconds left = heard_ + patience() - clock_.now();
        later(
            std::max(milliseconds::zero(), left), &leadership::consider_claim);
        return;
    }
    heard_ = clock_.now() - settings_.takeover;
    consider_claim();
}

bool leadership::owner_is_weak() const
{
    return owner_ &&
           settings_.strength >= settings_.much_stronger * owner_->strength &&
           clock_.now() - owned_since_ >= settings_.settled;
}

bool leadership::may_claim() const
{
    if (is_owner() || retired_ || !read_ok_ || clock_.now() < no_claim_until_)
    {
        return false;
    }
    return !owner_ || owner_is_former_life_ ||
           clock_.now() - heard_ >= patience() || owner_is_weak();
}

void leadership::consider_claim()
{
    if (claim_planned_ || !may_claim())
    {
        return;
    }
    claim_planned_ = true;
    constexpr std::uint32_t strong = 1'000;
    const std::uint32_t missing = strong - std::min(strong, settings_.strength);
    clock_.after(
        draw_jitter() + settings_.handicap * missing / strong,
        [weak = weak_from_this()]
        {
            const auto self = weak.lock();
            if (!self)
            {
                return;
            }
            self->claim_planned_ = false;
            if (self->may_claim())
            {
                self->claim();
            }
        });
}

ownership_record
leadership::record_of(ownership_record::kind what, std::uint64_t token) const
{
    ownership_record record;
    record.what = what;
    record.vm = settings_.vm.str();
    record.address = settings_.address;
    record.token = token;
    record.nonce = nonce_;
    record.strength = settings_.strength;
    return record;
}

void leadership::append(ownership_record record, completion<log_offset> done)
{
    append_options options;
    options.expected_end = next_;
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

void leadership::heed_conflict(const result<log_offset>& stored)
{
    if (!stored && stored.error().code == refusal_code::revision_conflict)
    {
        read_at_once();
    }
}

void leadership::claim()
{
    if (appending_)
    {
        return;
    }
    events_.emit(
        {event_number::ownership_claimed,
         {{"silent_ms", std::to_string((clock_.now() - heard_).count())},
          {"at", std::to_string(next_)}}});
    // The claim takes effect when it is read, also where its answer is lost.
    append(
        record_of(ownership_record::kind::claim, 0),
        [this](const result<log_offset>& stored)
        {
            if (stored)
            {
                read_at_once();
            }
            heed_conflict(stored);
        });
}

void leadership::renew()
{
    if (!is_owner())
    {
        return;
    }
    const std::uint64_t token = own_token_;
    auto again = [weak = weak_from_this(), token](milliseconds delay)
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
                const auto later = weak.lock();
                if (later && later->own_token_ == token)
                {
                    later->renew();
                }
            });
    };
    if (appending_)
    {
        again(settings_.retry);
        return;
    }
    const instant asked = clock_.now_with_suspends();
    append(
        record_of(ownership_record::kind::renewal, token),
        [this, again, asked](const result<log_offset>& stored)
        {
            renewal_failed_ =
                !stored && stored.error().code == refusal_code::log_unavailable;
            if (!stored)
            {
                events_.emit(
                    {event_number::renewal_failed,
                     {{"reason", stored.error().message},
                      {"at", std::to_string(next_)}}});
            }
            if (stored)
            {
                // The topic ended here, so nothing of others came before.
                next_ = std::max(next_, *stored + 1);
                const milliseconds took = clock_.now_with_suspends() - asked;
                again(std::max(milliseconds::zero(), settings_.renewal - took));
                return;
            }
            heed_conflict(stored);
            again(settings_.retry);
        });
}

void leadership::release(std::function<void()> done)
{
    retired_ = true;
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
    no_claim_until_ = clock_.now() + settings_.yield_pause;
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
        constexpr milliseconds soon{10};
        clock_.after(
            soon,
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
        record_of(ownership_record::kind::release, own_token_),
        [this, done = std::move(done)](const result<log_offset>& stored)
        {
            if (stored)
            {
                done();
                return;
            }
            // Whether it was stored is told by reading on.
            heed_conflict(stored);
            clock_.after(
                settings_.retry,
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
