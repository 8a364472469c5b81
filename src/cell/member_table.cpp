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

/// Precedence of a status among updates with the same incarnation.
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

bool supersedes(const member_update& update, const member_record& known)
{
    if (update.info.incarnation != known.info.incarnation)
    {
        return update.info.incarnation > known.info.incarnation;
    }
    return rank(update.status) > rank(known.status);
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

bool member_table::apply(
    instant now, const member_update& update, gossip_mode mode)
{
    if (update.info.id == self_.id)
    {
        return apply_to_self(update);
    }
    if (update.status == member_status::refuted && update.info.id != self_.id)
    {
        return apply_refutation(now, update, mode);
    }
    const bool no_address =
        update.status == member_status::alive && update.info.address.empty();
    if (update.status == member_status::unknown || no_address)
    {
        return false;
    }
    auto [at, is_new] = others_.try_emplace(update.info.id);
    member_record& record = at->second;
    if (!is_new && !supersedes(update, record))
    {
        return false;
    }
    if (is_new)
    {
        record.info.id = update.info.id;
        record.status = member_status::left;
        record.since = now;
    }
    record.info.incarnation = update.info.incarnation;
    if (update.status == member_status::alive)
    {
        record.info = update.info;
    }
    // A member without an address cannot be probed. It is added once an
    // update brings the address.
    const bool unusable = update.status == member_status::suspected &&
                          record.info.address.empty();
    if (unusable)
    {
        others_.erase(at);
        return false;
    }
    change(now, record, update.status);
    if (mode == gossip_mode::disseminate)
    {
        enqueue_update(update);
    }
    return true;
}

/// A refutation carries no address, so it applies only to a member whose
/// address is known.
bool member_table::apply_refutation(
    instant now, const member_update& update, gossip_mode mode)
{
    const auto found = others_.find(update.info.id);
    if (found == others_.end() || found->second.info.address.empty() ||
        update.info.incarnation <= found->second.info.incarnation)
    {
        return false;
    }
    found->second.info.incarnation = update.info.incarnation;
    change(now, found->second, member_status::alive);
    if (mode == gossip_mode::disseminate)
    {
        enqueue_update(update);
    }
    return true;
}

bool member_table::apply_to_self(const member_update& update)
{
    const bool other_address = update.status == member_status::alive &&
                               update.info.address != self_.address;
    const bool own_state = (update.status == member_status::alive ||
                            update.status == member_status::refuted) &&
                           update.info.incarnation == self_.incarnation &&
                           !other_address;
    const bool outdated = update.info.incarnation < self_.incarnation;
    if (leaving_ || outdated || own_state ||
        update.status == member_status::unknown)
    {
        return false;
    }
    self_.incarnation = update.info.incarnation + 1;
    enqueue_update(
        {other_address ? member_status::alive : member_status::refuted, self_});
    return true;
}

void member_table::observe_incarnation(
    instant now, const instance_id& from, std::uint64_t incarnation)
{
    const member_record* known = find(from);
    if (known == nullptr || known->info.address.empty() ||
        incarnation <= known->info.incarnation)
    {
        return;
    }
    member info = known->info;
    info.incarnation = incarnation;
    apply(now, {member_status::alive, std::move(info)});
}

void member_table::suspect(instant now, const instance_id& id)
{
    const member_record* known = find(id);
    if (known != nullptr && known->status == member_status::alive)
    {
        const member info = known->info;
        apply(now, {member_status::suspected, info});
    }
}

void member_table::declare_dead(instant now, const instance_id& id)
{
    const member_record* known = find(id);
    if (known != nullptr && counts_as_alive(known->status))
    {
        const member info = known->info;
        apply(now, {member_status::dead, info});
    }
}

void member_table::complete_join(const std::vector<member_update>& reported)
{
    if (!joining_)
    {
        return;
    }
    joining_ = false;
    for (const member_update& update : reported)
    {
        const bool own = update.info.id == self_.id &&
                         update.status != member_status::unknown;
        if (own && update.info.incarnation >= self_.incarnation)
        {
            self_.incarnation = update.info.incarnation + 1;
        }
    }
    announce_self();
}

void member_table::leave()
{
    leaving_ = true;
    enqueue_update({member_status::left, self_});
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
    enqueue_update({member_status::alive, self_});
}

std::vector<member_update> member_table::correction_for(
    const instance_id& id, std::uint64_t incarnation) const
{
    const member_record* known = find(id);
    if (known == nullptr)
    {
        member info;
        info.id = id;
        return {{member_status::unknown, info}};
    }
    if (known->status == member_status::alive &&
        known->info.incarnation <= incarnation)
    {
        return {};
    }
    return {{known->status, known->info}};
}

std::vector<member_update> member_table::take_updates(std::size_t most)
{
    std::vector<queued_update*> order;
    order.reserve(queued_updates_.size());
    for (auto& [id, queued] : queued_updates_)
    {
        order.push_back(&queued);
    }
    std::stable_sort(
        order.begin(),
        order.end(),
        [](const queued_update* left, const queued_update* right)
        { return left->sent < right->sent; });
    order.resize(std::min(order.size(), most));
    std::vector<member_update> taken;
    for (queued_update* queued : order)
    {
        ++queued->sent;
        taken.push_back(queued->update);
    }
    const std::uint32_t bound = transmission_limit();
    std::erase_if(
        queued_updates_,
        [bound](const auto& item) { return item.second.sent >= bound; });
    return taken;
}

std::vector<member_update>
member_table::page(const instance_id& cursor, std::size_t most) const
{
    std::vector<member_update> entries;
    auto at = others_.upper_bound(cursor);
    bool self_pending = cursor < self_.id;
    while (entries.size() < most && (self_pending || at != others_.end()))
    {
        if (self_pending && (at == others_.end() || self_.id < at->first))
        {
            entries.push_back({member_status::alive, self_});
            self_pending = false;
            continue;
        }
        entries.push_back({at->second.status, at->second.info});
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
            add(record.info);
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
        emit_event(event_number::member_suspected, record.info);
    }
    if (is_alive && !was_alive)
    {
        ++alive_count_;
        emit_event(event_number::member_joined, record.info);
    }
    if (!is_alive && was_alive)
    {
        --alive_count_;
        emit_event(event_number::member_left, record.info);
    }
}

void member_table::enqueue_update(const member_update& update)
{
    queued_updates_[update.info.id] = {update, 0};
}

void member_table::emit_event(event_number number, const member& info)
{
    events_.emit(
        {number,
         {{"instance", info.id.str()},
          {"address", info.address},
          {"incarnation", std::to_string(info.incarnation)}}});
}

std::uint32_t member_table::transmission_limit() const noexcept
{
    constexpr std::uint32_t factor = 3;
    return factor * static_cast<std::uint32_t>(std::bit_width(alive_count_));
}

} // namespace acaciastile::impl
