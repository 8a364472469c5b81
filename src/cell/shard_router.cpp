#include "cell/shard_router.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

/// Returns whether a retry may succeed, with another owner or later with the
/// same one.
bool is_about_ownership(refusal_code code)
{
    return code == refusal_code::not_owner || code == refusal_code::no_owner ||
           code == refusal_code::unreachable;
}

} // namespace

std::unique_ptr<shard_router> shard_router::create(
    instance_id self,
    shard_router_settings settings,
    std::uint64_t seed,
    const cell_state& cell,
    peer_gateway& peers,
    const clock_source& clock,
    local_handler local)
{
    return std::unique_ptr<shard_router>(new shard_router(
        std::move(self), settings, seed, cell, peers, clock, std::move(local)));
}

shard_router::shard_router(
    instance_id self,
    shard_router_settings settings,
    std::uint64_t seed,
    const cell_state& cell,
    peer_gateway& peers,
    const clock_source& clock,
    local_handler local)
    : self_(std::move(self)),
      settings_(settings),
      random_(seed),
      cell_(cell),
      peers_(peers),
      clock_(clock),
      local_(std::move(local)),
      budget_(retry_budget::create(settings.budget, clock.now()))
{
}

void shard_router::call(shard_call message)
{
    auto made = std::make_shared<pending_call>(pending_call{
        std::move(message), backoff::create(settings_.backoff, random_())});
    calls_.push_back(made);
    budget_.first_call(clock_.now());
    send(made);
}

void shard_router::tick()
{
    const std::vector<std::shared_ptr<pending_call>> all(
        calls_.begin(), calls_.end());
    for (const auto& call : all)
    {
        if (clock_.now() >= call->message.give_up)
        {
            give_up(call);
        }
        else if (call->in_flight && owner_changed(*call))
        {
            // The former owner may have executed the call. The new owner
            // recognizes a repetition by the id.
            ++call->sequence;
            call->may_have_run = true;
            send(call);
        }
        else if (!call->in_flight && clock_.now() >= call->next_try)
        {
            send(call);
        }
    }
}

bool shard_router::owner_changed(const pending_call& call) const
{
    const shard_claim* claim = cell_.claim(call.message.shard);
    return claim != nullptr && !claim->released && claim->epoch != call.epoch;
}

void shard_router::send(const std::shared_ptr<pending_call>& call)
{
    const shard_claim* claim = cell_.claim(call->message.shard);
    if (claim == nullptr || claim->released)
    {
        call->in_flight = false;
        try_later(
            call,
            {refusal_code::no_owner,
             verdict::not_run,
             "the shard currently has no owner",
             {}});
        return;
    }
    const milliseconds left = call->message.give_up - clock_.now();
    std::string body = call->message.body(left);
    call->in_flight = true;
    call->epoch = claim->epoch;
    const std::uint64_t sequence = ++call->sequence;
    std::weak_ptr<bool> alive = alive_;
    auto answered = [this, alive, call, sequence](result<std::string> answer)
    {
        if (!alive.expired() && call->sequence == sequence && call->in_flight)
        {
            on_answer(call, std::move(answer));
        }
    };
    if (claim->owner == self_)
    {
        local_(call->message.method, body, std::move(answered));
        return;
    }
    peers_.call(
        {claim->owner_address,
         call->message.method,
         std::move(body),
         call->message.try_timeout == milliseconds{0}
             ? left
             : std::min(left, call->message.try_timeout)},
        std::move(answered));
}

void shard_router::on_answer(
    const std::shared_ptr<pending_call>& call, result<std::string> answer)
{
    call->in_flight = false;
    if (answer || !is_about_ownership(answer.error().code))
    {
        if (!answer && call->may_have_run &&
            answer.error().effect == verdict::not_run &&
            answer.error().code != refusal_code::conflicting_id)
        {
            // An earlier try of the call may have run.
            answer.error().effect = verdict::may_have_run;
        }
        finish(call, std::move(answer));
        return;
    }
    try_later(call, std::move(answer.error()));
}

void shard_router::try_later(
    const std::shared_ptr<pending_call>& call, error why)
{
    if (why.effect != verdict::not_run)
    {
        call->may_have_run = true;
    }
    const bool sent = call->sequence > 0;
    call->last = std::move(why);
    const instant next = clock_.now() + call->delay.next_delay();
    if (next >= call->message.give_up ||
        (sent && !budget_.take_retry(clock_.now())))
    {
        give_up(call);
        return;
    }
    ++retries_;
    call->next_try = next;
}

void shard_router::give_up(const std::shared_ptr<pending_call>& call)
{
    error why = call->last;
    if (why.message.empty())
    {
        why.code = refusal_code::deadline_exceeded;
        why.message = "no answer came before the deadline";
    }
    if (call->may_have_run || call->in_flight)
    {
        why.effect = verdict::may_have_run;
    }
    finish(call, tl::unexpected(std::move(why)));
}

void shard_router::finish(
    const std::shared_ptr<pending_call>& call, result<std::string> answer)
{
    ++call->sequence;
    call->in_flight = false;
    calls_.remove(call);
    call->message.done(std::move(answer));
}

} // namespace acaciastile
