#include "cell/swim_membership.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile::impl
{

namespace
{

/// Time between two searches for expired suspicions.
constexpr milliseconds suspicion_check_interval{100};

/// A probe whose direct ping got no reply.
struct unanswered_probe
{
    member target;
    bool is_final = false;
};

} // namespace

void swim_membership::start_due_probe()
{
    if (now_ < next_probe_)
    {
        return;
    }
    next_probe_ = now_ + settings_.probe_interval;
    if (const member* target = next_in_round())
    {
        start_probe(member(*target));
    }
}

/// A member whose suspicion has expired is declared dead only after one more
/// failed probe. Until then the instance that was first to suspect it keeps
/// probing it, so that the member learns of the suspicion and can refute it.
void swim_membership::check_suspicions()
{
    if (now_ < next_check_ || table_.suspected_count() == 0)
    {
        return;
    }
    next_check_ = now_ + suspicion_check_interval;
    std::vector<member> due;
    for (const auto& [id, record] : table_.others())
    {
        if (record.status != member_status::suspected)
        {
            continue;
        }
        const auto recheck = next_recheck_.find(id);
        const bool again =
            recheck != next_recheck_.end() && recheck->second <= now_;
        if (again || record.suspicion_end <= now_)
        {
            due.push_back(record.info);
        }
    }
    for (const member& target : due)
    {
        start_probe(target);
    }
}

void swim_membership::advance_probes()
{
    std::vector<instance_id> ended;
    std::vector<unanswered_probe> unanswered;
    for (auto& [id, active] : probes_)
    {
        const member_record* known = table_.find(id);
        if (known == nullptr || !counts_as_alive(*known) || now_ >= active.end)
        {
            ended.push_back(id);
        }
        else if (!active.indirect_sent && now_ >= active.indirect_at)
        {
            active.indirect_sent = true;
            unanswered.push_back({known->info, active.final_probe});
        }
    }
    for (const unanswered_probe& one : unanswered)
    {
        const std::size_t helpers = settings_.indirect_probes;
        send_indirect(one.target, one.is_final ? 2 * helpers : helpers);
        if (one.is_final)
        {
            send_ping(one.target);
        }
    }
    for (const instance_id& id : ended)
    {
        end_probe(id);
    }
}

void swim_membership::end_probe(const instance_id& id)
{
    const auto active = probes_.find(id);
    if (active == probes_.end())
    {
        return;
    }
    const bool final_probe = active->second.final_probe;
    probes_.erase(active);
    next_recheck_.erase(id);
    if (final_probe)
    {
        table_.declare_dead(now_, id);
    }
    else
    {
        table_.suspect(now_, id);
        next_recheck_[id] = now_ + settings_.probe_interval / 2;
    }
}

void swim_membership::start_probe(const member& target)
{
    const member_record* known = table_.find(target.id);
    probe started;
    started.indirect_at = now_ + settings_.probe_timeout;
    started.end =
        now_ + std::max(settings_.probe_interval, settings_.probe_timeout * 2);
    started.final_probe = known != nullptr &&
                          known->status == member_status::suspected &&
                          known->suspicion_end <= now_;
    if (probes_.emplace(target.id, started).second)
    {
        send_ping(target);
    }
}

void swim_membership::send_ping(const member& target)
{
    const ping_message message = message_to(target.id, target.incarnation);
    auto on_reply = [this, id = target.id](result<std::string> reply)
    {
        if (reply)
        {
            on_ping_reply(id, *reply);
        }
    };
    peers_.call(
        {target.address, ping_method, encode(message), settings_.probe_timeout},
        guarded(std::move(on_reply)));
}

void swim_membership::send_indirect(const member& target, std::size_t helpers)
{
    for (const member& helper : random_alive(helpers, target.id))
    {
        probe_request message;
        message.ping = message_to(helper.id, helper.incarnation);
        message.target = target.id;
        message.target_address = target.address;
        auto on_reply = [this, id = target.id](result<std::string> reply)
        {
            if (reply)
            {
                on_ping_reply(id, *reply);
            }
        };
        peers_.call(
            {helper.address,
             probe_method,
             encode(message),
             settings_.probe_timeout * 2},
            guarded(std::move(on_reply)));
    }
}

void swim_membership::on_ping_reply(
    const instance_id& target, const std::string& body)
{
    const auto reply = decode_ping(body);
    if (!reply)
    {
        return;
    }
    if (reply->from == target)
    {
        probes_.erase(target);
        next_recheck_.erase(target);
    }
    apply_message(*reply);
}

/// Pings a member on behalf of another one that got no reply from it.
void swim_membership::relay_probe(
    const probe_request& request, completion<std::string> done)
{
    const member_record* known = table_.find(request.target);
    const std::uint64_t incarnation =
        known == nullptr ? 0 : known->info.incarnation;
    const ping_message message = message_to(request.target, incarnation);
    auto on_reply = [this,
                     weak = std::weak_ptr<char>(token_),
                     id = request.target,
                     done = std::move(done)](result<std::string> reply)
    {
        if (reply && !weak.expired())
        {
            on_ping_reply(id, *reply);
        }
        done(std::move(reply));
    };
    peers_.call(
        {request.target_address,
         ping_method,
         encode(message),
         settings_.probe_timeout},
        std::move(on_reply));
}

/// The next member to probe, in an order that is shuffled for each round;
/// null if there are no other members.
const member* swim_membership::next_in_round()
{
    for (int attempt = 0; attempt < 2; ++attempt)
    {
        while (!round_.empty())
        {
            const member_record* known = table_.find(round_.back());
            round_.pop_back();
            if (known != nullptr && counts_as_alive(*known))
            {
                return &known->info;
            }
        }
        for (const auto& [id, record] : table_.others())
        {
            if (counts_as_alive(record))
            {
                round_.push_back(id);
            }
        }
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    return nullptr;
}

} // namespace acaciastile::impl
