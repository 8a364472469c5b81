#include "cell/member_table.hpp"

#include "cell/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <string>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// Rank of a status among news of one incarnation.
int rank(member_status status) noexcept
{
    switch (status)
    {
    case member_status::alive:
        return 0;
    case member_status::suspected:
        return 1;
    default:
        return 2;
    }
}

bool supersedes(const member_update& update, const member_record& held)
{
    if (update.about.incarnation != held.about.incarnation)
    {
        return update.about.incarnation > held.about.incarnation;
    }
    return rank(update.status) > rank(held.status);
}

} // namespace

member_table::member_table(
    member self, milliseconds suspicion, event_sink& events)
    : self_(std::move(self)), suspicion_(suspicion), events_(events)
{
    self_.incarnation = std::max<std::uint64_t>(self_.incarnation, 1);
}

const member_record* member_table::find(const instance_id& id) const noexcept
{
    auto found = others_.find(id);
    return found == others_.end() ? nullptr : &found->second;
}

bool member_table::apply(instant now, const member_update& update, news_use use)
{
    if (update.about.id == self_.id)
    {
        return apply_to_self(update);
    }
    if (update.status == member_status::denied && update.about.id != self_.id)
    {
        return apply_denial(now, update, use);
    }
    const bool no_address =
        update.status == member_status::alive && update.about.address.empty();
    if (update.status == member_status::unknown || no_address)
    {
        return false;
    }
    auto [at, is_new] = others_.try_emplace(update.about.id);
    member_record& record = at->second;
    if (!is_new && !supersedes(update, record))
    {
        return false;
    }
    if (is_new)
    {
        record.about.id = update.about.id;
        record.status = member_status::left;
        record.since = now;
    }
    record.about.incarnation = update.about.incarnation;
    if (update.status == member_status::alive)
    {
        record.about = update.about;
    }
    // Without an address it cannot be probed: it counts once it is known.
    const bool unusable = update.status == member_status::suspected &&
                          record.about.address.empty();
    if (unusable)
    {
        others_.erase(at);
        return false;
    }
    change(now, record, update.status);
    if (use == news_use::pass)
    {
        pass_on(update);
    }
    return true;
}

/// A denial tells no address: it counts for a member whose address is held.
bool member_table::apply_denial(
    instant now, const member_update& update, news_use use)
{
    const auto found = others_.find(update.about.id);
    if (found == others_.end() || found->second.about.address.empty() ||
        update.about.incarnation <= found->second.about.incarnation)
    {
        return false;
    }
    found->second.about.incarnation = update.about.incarnation;
    change(now, found->second, member_status::alive);
    if (use == news_use::pass)
    {
        pass_on(update);
    }
    return true;
}

bool member_table::apply_to_self(const member_update& update)
{
    const bool elsewhere = update.status == member_status::alive &&
                           update.about.address != self_.address;
    const bool own_state = (update.status == member_status::alive ||
                            update.status == member_status::denied) &&
                           update.about.incarnation == self_.incarnation &&
                           !elsewhere;
    const bool outdated = update.about.incarnation < self_.incarnation;
    if (leaving_ || outdated || own_state ||
        update.status == member_status::unknown)
    {
        return false;
    }
    self_.incarnation = update.about.incarnation + 1;
    pass_on({elsewhere ? member_status::alive : member_status::denied, self_});
    return true;
}

void member_table::heard(
    instant now, const instance_id& from, std::uint64_t incarnation)
{
    const member_record* held = find(from);
    if (held == nullptr || held->about.address.empty() ||
        incarnation <= held->about.incarnation)
    {
        return;
    }
    member about = held->about;
    about.incarnation = incarnation;
    apply(now, {member_status::alive, std::move(about)});
}

void member_table::suspect(instant now, const instance_id& id)
{
    const member_record* held = find(id);
    if (held != nullptr && held->status == member_status::alive)
    {
        const member about = held->about;
        apply(now, {member_status::suspected, about});
    }
}

void member_table::declare_dead(instant now, const instance_id& id)
{
    const member_record* held = find(id);
    if (held != nullptr && counts_as_alive(held->status))
    {
        const member about = held->about;
        apply(now, {member_status::dead, about});
    }
}

void member_table::joined(const std::vector<member_update>& told)
{
    if (!joining_)
    {
        return;
    }
    joining_ = false;
    for (const member_update& update : told)
    {
        const bool own = update.about.id == self_.id &&
                         update.status != member_status::unknown;
        if (own && update.about.incarnation >= self_.incarnation)
        {
            self_.incarnation = update.about.incarnation + 1;
        }
    }
    announce_self();
}

void member_table::leave()
{
    leaving_ = true;
    pass_on({member_status::left, self_});
}

void member_table::restart_suspicions(instant now)
{
    for (auto& [id, record] : others_)
    {
        record.suspicion_end = now + suspicion_;
    }
}

void member_table::forget_dead(instant now, milliseconds after)
{
    std::erase_if(
        others_,
        [&](const auto& item)
        {
            const member_record& record = item.second;
            return !counts_as_alive(record.status) &&
                   now - record.since > after;
        });
}

void member_table::announce_self()
{
    pass_on({member_status::alive, self_});
}

std::vector<member_update> member_table::correction_for(
    const instance_id& id, std::uint64_t incarnation) const
{
    const member_record* held = find(id);
    if (held == nullptr)
    {
        member about;
        about.id = id;
        return {{member_status::unknown, about}};
    }
    if (held->status == member_status::alive &&
        held->about.incarnation <= incarnation)
    {
        return {};
    }
    return {{held->status, held->about}};
}

std::vector<member_update> member_table::take_news(std::size_t most)
{
    std::vector<queued_news*> order;
    order.reserve(news_.size());
    for (auto& [id, queued] : news_)
    {
        order.push_back(&queued);
    }
    std::stable_sort(
        order.begin(),
        order.end(),
        [](const queued_news* left, const queued_news* right)
        { return left->sent < right->sent; });
    order.resize(std::min(order.size(), most));
    std::vector<member_update> taken;
    for (queued_news* queued : order)
    {
        ++queued->sent;
        taken.push_back(queued->update);
    }
    const std::uint32_t bound = transmissions();
    std::erase_if(
        news_, [bound](const auto& item) { return item.second.sent >= bound; });
    return taken;
}

std::vector<member_update>
member_table::page(const instance_id& cursor, std::size_t most) const
{
    std::vector<member_update> entries;
    auto at = others_.upper_bound(cursor);
    bool self_due = cursor < self_.id;
    while (entries.size() < most && (self_due || at != others_.end()))
    {
        if (self_due && (at == others_.end() || self_.id < at->first))
        {
            entries.push_back({member_status::alive, self_});
            self_due = false;
            continue;
        }
        entries.push_back({at->second.status, at->second.about});
        ++at;
    }
    return entries;
}

std::uint64_t member_table::digest() const
{
    std::uint64_t sum = 0;
    auto add = [&sum](const member& one)
    { sum ^= hash_name(one.id.str(), one.incarnation); };
    add(self_);
    for (const auto& [id, record] : others_)
    {
        if (counts_as_alive(record.status))
        {
            add(record.about);
        }
    }
    return sum;
}

void member_table::change(
    instant now, member_record& record, member_status status)
{
    const bool was_alive = counts_as_alive(record.status);
    const bool is_alive = counts_as_alive(status);
    if (record.status != status)
    {
        record.since = now;
    }
    if (record.status == member_status::suspected)
    {
        --suspected_count_;
    }
    record.status = status;
    if (status == member_status::suspected)
    {
        record.suspicion_end = now + suspicion_;
        ++suspected_count_;
        tell(event_number::member_suspected, record.about);
    }
    if (is_alive && !was_alive)
    {
        ++alive_count_;
        tell(event_number::member_joined, record.about);
    }
    if (!is_alive && was_alive)
    {
        --alive_count_;
        tell(event_number::member_left, record.about);
    }
}

void member_table::pass_on(const member_update& update)
{
    news_[update.about.id] = {update, 0};
}

void member_table::tell(event_number number, const member& about)
{
    events_.emit(
        {number,
         {{"instance", about.id.str()},
          {"address", about.address},
          {"incarnation", std::to_string(about.incarnation)}}});
}

std::uint32_t member_table::transmissions() const noexcept
{
    constexpr std::uint32_t factor = 3;
    return factor * static_cast<std::uint32_t>(std::bit_width(alive_count_));
}

} // namespace acaciastile::impl
