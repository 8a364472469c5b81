#include "cell/swim_membership.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// Number of members that are notified directly when this instance leaves.
constexpr std::size_t leave_notices = 4;

} // namespace

swim_membership::swim_membership(
    member self,
    membership_settings settings,
    std::uint64_t seed,
    peer_gateway& peers,
    event_sink& events)
    : settings_(settings),
      random_(seed),
      peers_(peers),
      table_(std::move(self), settings.suspicion, events)
{
}

void swim_membership::tick(instant now)
{
    now_ = std::max(now_, now);
    ticked_ ? handle_pause(now) : first_tick(now);
    last_tick_ = now;
    if (left_)
    {
        return;
    }
    advance_probes();
    check_suspicions();
    start_due_probe();
    contact_missing();
    compare_lists();
}

/// Starts the timers at a random phase, so that the probes of all instances
/// are spread over the interval.
void swim_membership::first_tick(instant now)
{
    ticked_ = true;
    const auto interval = static_cast<std::size_t>(
        std::max<milliseconds::rep>(settings_.probe_interval.count(), 1));
    const milliseconds phase{
        static_cast<milliseconds::rep>(random_below(interval))};
    next_probe_ = now + phase;
    next_check_ = now + phase;
    next_contact_ = now;
    next_sync_ = now + settings_.sync_interval + phase;
}

/// After this process was paused, missing replies say nothing about other
/// members: drops the running probes and restarts the suspicion timeouts.
void swim_membership::handle_pause(instant now)
{
    if (now - last_tick_ > settings_.probe_timeout)
    {
        probes_.clear();
        table_.restart_suspicions(now);
    }
}

void swim_membership::on_peer(
    instant now,
    const std::string& method,
    const std::string& body,
    completion<std::string> done)
{
    now_ = std::max(now_, now);
    if (method == ping_method)
    {
        const auto message = decode_ping(body);
        if (!message)
        {
            return done(tl::unexpected(message.error()));
        }
        apply_message(*message);
        return done(encode(message_to(message->from, message->incarnation)));
    }
    if (method == probe_method)
    {
        const auto request = decode_probe(body);
        if (!request)
        {
            return done(tl::unexpected(request.error()));
        }
        apply_message(request->ping);
        return relay_probe(*request, std::move(done));
    }
    if (method == sync_method)
    {
        const auto request = decode_sync_request(body);
        if (!request)
        {
            return done(tl::unexpected(request.error()));
        }
        return done(answer_sync(*request));
    }
    done(refuse(
        refusal_code::malformed, "unknown membership method '" + method + "'"));
}

void swim_membership::leave(instant now)
{
    if (left_)
    {
        return;
    }
    now_ = std::max(now_, now);
    left_ = true;
    probes_.clear();
    table_.leave();
    for (const member& other : random_alive(leave_notices, {}))
    {
        send_ping(other);
    }
}

ping_message
swim_membership::message_to(const instance_id& to, std::uint64_t incarnation)
{
    ping_message message;
    message.from = table_.self().id;
    message.incarnation = table_.self().incarnation;
    message.offset = offset_;
    message.updates = table_.correction_for(to, incarnation);
    const bool burst =
        table_.queued_update_count() > settings_.updates_in_message;
    const std::size_t most =
        burst ? settings_.updates_in_burst : settings_.updates_in_message;
    for (member_update& update : table_.take_updates(most))
    {
        message.updates.push_back(std::move(update));
    }
    return message;
}

void swim_membership::apply_message(const ping_message& message)
{
    table_.observe_incarnation(now_, message.from, message.incarnation);
    const member_record* sender = table_.find(message.from);
    const std::string address =
        sender == nullptr ? std::string() : sender->info.address;
    observe_offset(message.offset, address);
    for (const member_update& update : message.updates)
    {
        if (update.status == member_status::unknown &&
            update.info.id == table_.self().id)
        {
            unknown_to_ = address;
        }
        table_.apply(now_, update);
    }
}

void swim_membership::observe_offset(
    log_offset offset, const std::string& address)
{
    if (!address.empty() && offset > 0 && offset >= newest_.first)
    {
        newest_ = {offset, address};
    }
}

std::vector<member>
swim_membership::random_alive(std::size_t most, const instance_id& without)
{
    std::vector<member> chosen;
    for (const auto& [id, record] : table_.others())
    {
        if (record.status == member_status::alive && id != without)
        {
            chosen.push_back(record.info);
        }
    }
    most = std::min(most, chosen.size());
    for (std::size_t at = 0; at < most; ++at)
    {
        std::swap(chosen[at], chosen[at + random_below(chosen.size() - at)]);
    }
    chosen.resize(most);
    return chosen;
}

std::size_t swim_membership::random_below(std::size_t bound)
{
    std::uniform_int_distribution<std::size_t> below(0, bound - 1);
    return below(random_);
}

std::vector<member> swim_membership::alive() const
{
    std::vector<member> list;
    list.reserve(table_.alive_count());
    for (const auto& [id, record] : table_.others())
    {
        if (counts_as_alive(record))
        {
            list.push_back(record.info);
        }
    }
    auto by_id = [](const member& left, const member& right)
    { return left.id < right.id; };
    const member& self = table_.self();
    list.insert(std::lower_bound(list.begin(), list.end(), self, by_id), self);
    return list;
}

bool swim_membership::is_alive(const instance_id& id) const
{
    const member_record* known = table_.find(id);
    return id == table_.self().id || (known && counts_as_alive(*known));
}

bool swim_membership::is_suspected(const instance_id& id) const
{
    const member_record* known = table_.find(id);
    return known != nullptr && (known->status == member_status::suspected ||
                                known->status == member_status::dead);
}

instant swim_membership::dead_since(const instance_id& id) const
{
    const member_record* known = table_.find(id);
    if (known == nullptr || counts_as_alive(*known))
    {
        return instant::max();
    }
    return known->since;
}

} // namespace acaciastile::impl
