#include "cell/swim_membership.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <string_view>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// How long a dead member that is not in the VM list is still contacted.
constexpr milliseconds dead_contact_period{600'000};

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

/// Contacts an instance that this one considers dead or knows only from the
/// VM list. This is how instances join, and how the membership lists converge
/// after a network partition.
void swim_membership::contact_missing()
{
    if (now_ < next_contact_)
    {
        return;
    }
    const bool alone = table_.alive_count() == 1;
    next_contact_ =
        now_ + (alone ? settings_.probe_interval : settings_.contact_interval);
    table_.forget_dead(now_, settings_.dead_member_retention);
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
    if (const member_record* known = table_.find(chosen.id))
    {
        message.updates.push_back({known->status, known->info});
    }
    send_sync(
        chosen.address,
        std::move(message),
        joining ? page_walk::all_pages : page_walk::single_page);
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
            page_walk::single_page);
        return;
    }
    if (now_ < next_sync_)
    {
        return;
    }
    next_sync_ = now_ + settings_.sync_interval;
    for (const member& other : random_alive(1, {}))
    {
        send_sync(
            other.address, make_sync(sync_cursor_), page_walk::single_page);
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
    const std::string& address, sync_request message, page_walk walk)
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
    page_walk walk,
    bool has_page)
{
    const auto reply = decode_sync_reply(body);
    if (!reply || left_)
    {
        return;
    }
    observe_offset(reply->offset, reply->self.address);
    table_.apply(now_, {member_status::alive, reply->self});
    table_.complete_join(reply->updates);
    const bool changed = merge_page(reply->updates);
    if (walk == page_walk::all_pages && !reply->cursor.empty())
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

std::string swim_membership::answer_sync(const sync_request& request)
{
    observe_offset(request.offset, request.self.address);
    for (const member_update& update : request.updates)
    {
        table_.apply(now_, update);
    }
    if (request.self.incarnation > 0)
    {
        table_.apply(now_, {member_status::alive, request.self});
    }
    sync_reply reply;
    reply.self = table_.self();
    reply.offset = offset_;
    reply.updates =
        table_.correction_for(request.self.id, request.self.incarnation);
    const std::size_t bound = std::min(request.entries, settings_.sync_entries);
    if (bound > 0 && request.digest != table_.digest())
    {
        const auto entries = table_.page(request.cursor, bound);
        if (entries.size() == bound)
        {
            reply.cursor = entries.back().info.id;
        }
        reply.updates.insert(
            reply.updates.end(), entries.begin(), entries.end());
    }
    return encode(reply);
}

/// Merges a page of another member's list. A member that is dead there but
/// alive here is only suspected, so that it can refute this: after a network
/// partition each side considers the other dead. True if the page changed
/// anything.
bool swim_membership::merge_page(const std::vector<member_update>& updates)
{
    bool changed = false;
    for (const member_update& update : updates)
    {
        const member_record* known = table_.find(update.info.id);
        const bool contradicts =
            known != nullptr && known->status == member_status::alive &&
            update.status == member_status::dead &&
            update.info.incarnation >= known->info.incarnation;
        if (contradicts)
        {
            table_.suspect(now_, update.info.id);
            continue;
        }
        changed |= table_.apply(now_, update, gossip_mode::local_only);
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
        const bool recent = now_ - record.since < dead_contact_period;
        const bool known = listed.contains(record.info.address);
        if (record.status == member_status::dead &&
            !record.info.address.empty() && (recent || known))
        {
            found.push_back({id, record.info.address});
        }
        if (joining && record.status == member_status::alive)
        {
            found.push_back({id, record.info.address});
        }
        present.insert(record.info.address);
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
