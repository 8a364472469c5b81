#include "cell/swim_membership.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// Members told at once that this instance leaves.
constexpr std::size_t leave_messages = 4;

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
    ticked_ ? absorb_pause(now) : first_tick(now);
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

/// Spreads the instances' probes over the interval.
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

/// After a pause of this process nothing can be concluded from answers that
/// did not come: probes are dropped and suspicions start again.
void swim_membership::absorb_pause(instant now)
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
        absorb(*message);
        return done(encode(message_to(message->from, message->incarnation)));
    }
    if (method == probe_method)
    {
        const auto asked = decode_probe(body);
        if (!asked)
        {
            return done(tl::unexpected(asked.error()));
        }
        absorb(asked->ping);
        return relay_probe(*asked, std::move(done));
    }
    if (method == sync_method)
    {
        const auto asked = decode_sync_request(body);
        if (!asked)
        {
            return done(tl::unexpected(asked.error()));
        }
        return done(answer_sync(*asked));
    }
    done(refuse(refusal_code::malformed, "unknown method '" + method + "'"));
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
    for (const member& other : random_alive(leave_messages, {}))
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
    const bool burst = table_.news_count() > settings_.updates_in_message;
    const std::size_t most =
        burst ? settings_.updates_in_burst : settings_.updates_in_message;
    for (member_update& update : table_.take_news(most))
    {
        message.updates.push_back(std::move(update));
    }
    return message;
}

void swim_membership::absorb(const ping_message& message)
{
    table_.heard(now_, message.from, message.incarnation);
    const member_record* sender = table_.find(message.from);
    const std::string address =
        sender == nullptr ? std::string() : sender->about.address;
    heard_offset(message.offset, address);
    for (const member_update& update : message.updates)
    {
        if (update.status == member_status::unknown &&
            update.about.id == table_.self().id)
        {
            unknown_to_ = address;
        }
        table_.apply(now_, update);
    }
}

void swim_membership::heard_offset(
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
            chosen.push_back(record.about);
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
            list.push_back(record.about);
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
    const member_record* held = table_.find(id);
    return id == table_.self().id || (held && counts_as_alive(*held));
}

bool swim_membership::is_suspected(const instance_id& id) const
{
    const member_record* held = table_.find(id);
    return held != nullptr && (held->status == member_status::suspected ||
                               held->status == member_status::dead);
}

instant swim_membership::dead_since(const instance_id& id) const
{
    const member_record* held = table_.find(id);
    if (held == nullptr || counts_as_alive(*held))
    {
        return instant::max();
    }
    return held->since;
}

} // namespace acaciastile::impl
