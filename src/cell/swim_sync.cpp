#include "cell/swim_membership.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <string_view>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// A dead member that the VM list does not name is tried for this long.
constexpr milliseconds retried_after_death{600'000};

} // namespace

void swim_membership::set_seeds(instant now, const std::vector<vm_entry>& vms)
{
    now_ = std::max(now_, now);
    seeds_.clear();
    const member& self = table_.self();
    for (const vm_entry& vm : vms)
    {
        const bool is_self =
            vm.name == self.id.str() || vm.address == self.address;
        if (vm.role == vm_role::entry && !vm.leaving && !is_self)
        {
            seeds_.push_back(vm);
        }
    }
}

/// Tries an instance that is dead to this one or that only the VM list names.
/// That is how instances join, and how the lists heal after a cut.
void swim_membership::contact_missing()
{
    if (now_ < next_contact_)
    {
        return;
    }
    const bool alone = table_.alive_count() == 1;
    next_contact_ =
        now_ + (alone ? settings_.probe_interval : settings_.contact_interval);
    table_.forget_dead(now_, settings_.dead_kept);
    const std::vector<missing_instance> candidates = missing();
    if (candidates.empty())
    {
        return;
    }
    const missing_instance& chosen =
        candidates[random_below(candidates.size())];
    sync_request message = make_sync({});
    const bool joining = table_.is_joining();
    if (!joining)
    {
        message.entries = 0;
    }
    if (const member_record* held = table_.find(chosen.id))
    {
        message.updates.push_back({held->status, held->about});
    }
    send_sync(
        chosen.address,
        std::move(message),
        joining ? list_walk::whole_list : list_walk::one_page);
}

void swim_membership::compare_lists()
{
    if (!unknown_to_.empty())
    {
        sync_request message = make_sync({});
        message.entries = 0;
        send_sync(
            std::exchange(unknown_to_, {}),
            std::move(message),
            list_walk::one_page);
        return;
    }
    if (now_ < next_sync_)
    {
        return;
    }
    next_sync_ = now_ + settings_.sync_interval;
    for (const member& other : random_alive(1, {}))
    {
        send_sync(other.address, make_sync(sync_cursor_), list_walk::one_page);
    }
}

sync_request swim_membership::make_sync(const instance_id& cursor) const
{
    sync_request message;
    message.self = table_.self();
    if (table_.is_joining())
    {
        message.self.incarnation = 0;
    }
    message.offset = offset_;
    message.digest = table_.digest();
    message.cursor = cursor;
    message.entries = settings_.sync_entries;
    return message;
}

void swim_membership::send_sync(
    const std::string& address, sync_request message, list_walk walk)
{
    const bool has_page = message.entries > 0;
    auto on_reply = [this, address, walk, has_page](result<std::string> reply)
    {
        if (reply)
        {
            on_sync_reply(address, *reply, walk, has_page);
        }
    };
    peers_.call(
        {address, sync_method, encode(message), settings_.probe_interval},
        guarded(std::move(on_reply)));
}

void swim_membership::on_sync_reply(
    const std::string& address,
    const std::string& body,
    list_walk walk,
    bool has_page)
{
    const auto reply = decode_sync_reply(body);
    if (!reply || left_)
    {
        return;
    }
    heard_offset(reply->offset, reply->self.address);
    table_.apply(now_, {member_status::alive, reply->self});
    table_.joined(reply->updates);
    const bool changed = absorb_page(reply->updates);
    if (walk == list_walk::whole_list && !reply->cursor.empty())
    {
        send_sync(address, make_sync(reply->cursor), walk);
    }
    else if (has_page)
    {
        sync_cursor_ = reply->cursor;
        const milliseconds wait =
            changed ? settings_.probe_interval : settings_.sync_interval;
        next_sync_ = std::min(next_sync_, now_ + wait);
    }
}

std::string swim_membership::answer_sync(const sync_request& asked)
{
    heard_offset(asked.offset, asked.self.address);
    for (const member_update& update : asked.updates)
    {
        table_.apply(now_, update);
    }
    if (asked.self.incarnation > 0)
    {
        table_.apply(now_, {member_status::alive, asked.self});
    }
    sync_reply reply;
    reply.self = table_.self();
    reply.offset = offset_;
    reply.updates =
        table_.correction_for(asked.self.id, asked.self.incarnation);
    const std::size_t bound = std::min(asked.entries, settings_.sync_entries);
    if (bound > 0 && asked.digest != table_.digest())
    {
        const auto entries = table_.page(asked.cursor, bound);
        if (entries.size() == bound)
        {
            reply.cursor = entries.back().about.id;
        }
        reply.updates.insert(
            reply.updates.end(), entries.begin(), entries.end());
    }
    return encode(reply);
}

/// A member that another list holds dead and this one alive is suspected
/// first, so that it can deny it: after a cut each side holds the other dead.
/// True where the page told anything new.
bool swim_membership::absorb_page(const std::vector<member_update>& updates)
{
    bool changed = false;
    for (const member_update& update : updates)
    {
        const member_record* held = table_.find(update.about.id);
        const bool contradicts =
            held != nullptr && held->status == member_status::alive &&
            update.status == member_status::dead &&
            update.about.incarnation >= held->about.incarnation;
        if (contradicts)
        {
            table_.suspect(now_, update.about.id);
            continue;
        }
        changed |= table_.apply(now_, update, news_use::keep);
    }
    return changed;
}

std::vector<swim_membership::missing_instance> swim_membership::missing() const
{
    absl::flat_hash_set<std::string_view> present;
    absl::flat_hash_set<std::string_view> listed;
    std::vector<missing_instance> found;
    for (const vm_entry& vm : seeds_)
    {
        listed.insert(vm.address);
    }
    const bool joining = table_.is_joining();
    for (const auto& [id, record] : table_.others())
    {
        const bool recent = now_ - record.since < retried_after_death;
        const bool known = listed.contains(record.about.address);
        if (record.status == member_status::dead &&
            !record.about.address.empty() && (recent || known))
        {
            found.push_back({id, record.about.address});
        }
        if (joining && record.status == member_status::alive)
        {
            found.push_back({id, record.about.address});
        }
        present.insert(record.about.address);
    }
    for (const vm_entry& vm : seeds_)
    {
        if (!present.contains(vm.address))
        {
            found.push_back({instance_id(vm.name), vm.address});
        }
    }
    return found;
}

} // namespace acaciastile::impl
