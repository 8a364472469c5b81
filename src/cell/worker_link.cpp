#include "cell/worker_link.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::int64_t per_mille = 1'000;

} // namespace

std::shared_ptr<worker_link> worker_link::create(
    worker_entry entry,
    shard_id shard,
    shard_epoch epoch,
    instant unsealed_lapse,
    std::string notify_address,
    worker_link_settings settings,
    std::uint64_t seed,
    worker_gateway& gateway,
    const clock_source& clock,
    worker_listener& listener)
{
    return std::shared_ptr<worker_link>(new worker_link(
        std::move(entry),
        std::move(shard),
        epoch,
        unsealed_lapse,
        std::move(notify_address),
        settings,
        seed,
        gateway,
        clock,
        listener));
}

worker_link::worker_link(
    worker_entry entry,
    shard_id shard,
    shard_epoch epoch,
    instant unsealed_lapse,
    std::string notify_address,
    worker_link_settings settings,
    std::uint64_t seed,
    worker_gateway& gateway,
    const clock_source& clock,
    worker_listener& listener)
    : entry_(std::move(entry)),
      shard_(std::move(shard)),
      epoch_(epoch),
      notify_address_(std::move(notify_address)),
      settings_(settings),
      gateway_(gateway),
      clock_(clock),
      listener_(listener),
      breaker_(circuit_breaker::create(settings.breaker, seed)),
      lapse_at_(unsealed_lapse)
{
}

void worker_link::adopt(const attempt_id& attempt)
{
    held_.emplace(attempt, attempt_phase::adopted);
}

void worker_link::start(start_command command)
{
    held_[command.attempt] = attempt_phase::unsent;
    attempt_id attempt = command.attempt;
    starts_.insert_or_assign(std::move(attempt), std::move(command));
    due_ = true;
}

bool worker_link::cancel_unsent_start(const attempt_id& attempt)
{
    auto at = held_.find(attempt);
    if (at == held_.end() || at->second != attempt_phase::unsent)
    {
        return false;
    }
    held_.erase(at);
    starts_.erase(attempt);
    return true;
}

void worker_link::stop(const attempt_id& attempt, stop_manner manner)
{
    stops_[attempt] = manner;
    due_ = true;
}

void worker_link::forget(const attempt_id& attempt)
{
    held_.erase(attempt);
    starts_.erase(attempt);
    stops_.erase(attempt);
    forgets_.insert(attempt);
}

void worker_link::declare_dead()
{
    lapse_all();
}

void worker_link::tick(instant log_contact)
{
    log_contact_ = log_contact;
    const instant now = clock_.now();
    if (in_flight_ && now - sent_at_ > settings_.call_timeout)
    {
        ++sequence_;
        in_flight_ = false;
        on_failure(
            {refusal_code::unreachable,
             verdict::may_have_run,
             "the worker did not answer in time",
             {}});
    }
    check_lapse(now);
    if (!in_flight_ && wants_call(now) && breaker_.allow(now))
    {
        send(now);
    }
}

bool worker_link::wants_call(instant now) const
{
    if (silent_)
    {
        return false;
    }
    const bool has_starts = !starts_.empty() && may_start();
    return due_ || has_starts || !sealed_ || now >= next_beat_;
}

bool worker_link::may_grant() const noexcept
{
    // Messages to an unreachable worker renew no lease: otherwise each retry
    // would postpone the expiry.
    return sealed_ && reachable_ && clock_reading_.has_value();
}

bool worker_link::may_start() const noexcept
{
    return may_grant() && sealed_at_ < log_contact_;
}

worker_call worker_link::make_call(instant now)
{
    worker_call message;
    message.worker = entry_.id;
    message.address = entry_.address;
    message.shard = shard_;
    message.epoch = epoch_;
    message.seal = !sealed_;
    message.incarnation = incarnation_;
    message.notify_address = notify_address_;
    message.forget.assign(forgets_.begin(), forgets_.end());
    if (!may_grant())
    {
        return message;
    }
    for (const auto& [attempt, manner] : stops_)
    {
        message.stop.push_back({attempt, manner});
    }
    const auto elapsed = now - read_at_;
    const auto surely_elapsed =
        elapsed * (per_mille - settings_.drift_per_mille) / per_mille;
    message.lease_until = *clock_reading_ + surely_elapsed + settings_.lease;
    for (const auto& [attempt, phase] : held_)
    {
        if (phase == attempt_phase::running)
        {
            message.renew.push_back(attempt);
        }
    }
    if (!may_start())
    {
        return message;
    }
    for (auto& [attempt, command] : starts_)
    {
        message.start.push_back(command);
        held_[attempt] = attempt_phase::sent;
    }
    return message;
}

milliseconds worker_link::max_local_duration(milliseconds lease) const noexcept
{
    const auto longest =
        lease * per_mille / (per_mille - settings_.drift_per_mille);
    return longest + settings_.lapse_margin;
}

instant worker_link::former_lease_expiry(const worker_report& report) const
{
    milliseconds left{0};
    for (const running_attempt& attempt : report.running)
    {
        left = std::max(left, attempt.lease_until - report.clock);
    }
    return read_at_ + max_local_duration(left);
}

void worker_link::send(instant now)
{
    worker_call message = make_call(now);
    sealing_ = message.seal;
    sent_starts_.clear();
    for (const start_command& command : message.start)
    {
        sent_starts_.insert(command.attempt);
    }
    sent_forgets_ = forgets_;
    if (!message.renew.empty() || !message.start.empty())
    {
        lapse_at_ =
            std::max(lapse_at_, now + max_local_duration(settings_.lease));
    }
    in_flight_ = true;
    due_ = false;
    sent_at_ = now;
    next_beat_ = now + settings_.beat;
    ++calls_;
    const std::uint64_t sequence = ++sequence_;
    gateway_.call(
        std::move(message),
        [weak = weak_from_this(), sequence](result<worker_report> answer)
        {
            if (auto self = weak.lock())
            {
                self->on_answer(sequence, std::move(answer));
            }
        });
}

void worker_link::on_answer(
    std::uint64_t sequence, result<worker_report> answer)
{
    if (sequence != sequence_ || !in_flight_)
    {
        return;
    }
    in_flight_ = false;
    if (answer)
    {
        breaker_.succeeded();
        on_report(*answer);
        return;
    }
    on_failure(answer.error());
}

void worker_link::on_failure(const error& why)
{
    if (why.code == refusal_code::stale_epoch)
    {
        breaker_.succeeded();
        if (sealing_)
        {
            silent_ = true;
            listener_.on_epoch_lost(entry_.id);
            return;
        }
        // The worker has restarted or a newer owner has sealed it; the answer
        // to the next seal tells which.
        sealed_ = false;
        incarnation_ = 0;
        clock_reading_.reset();
        for (auto& [attempt, phase] : held_)
        {
            phase = attempt_phase::adopted;
        }
        starts_.clear();
        return;
    }
    if (why.code == refusal_code::stale_lease)
    {
        breaker_.succeeded();
        clock_reading_.reset();
        due_ = true;
        return;
    }
    breaker_.failed(clock_.now());
    due_ = true;
    if (reachable_)
    {
        reachable_ = false;
        listener_.on_reachable(entry_.id, false, leaving_);
    }
}

void worker_link::on_report(const worker_report& report)
{
    const bool first = !sealed_;
    const bool changed = !reachable_ || leaving_ != report.leaving;
    clock_reading_ = report.clock;
    read_at_ = clock_.now();
    incarnation_ = report.incarnation;
    if (first)
    {
        sealed_at_ = read_at_;
        lapse_at_ = former_lease_expiry(report);
    }
    sealed_ = true;
    reachable_ = true;
    leaving_ = report.leaving;
    for (const attempt_id& attempt : sent_forgets_)
    {
        forgets_.erase(attempt);
    }
    std::erase_if(
        stops_,
        [this](const auto& stop) { return !held_.contains(stop.first); });
    settle_held(report);
    stop_unknown_attempts(report);
    if (first)
    {
        // Renews the leases that a former owner granted without delay.
        due_ = due_ || !held_.empty() || !stops_.empty();
        listener_.on_sealed(entry_.id);
    }
    if (changed)
    {
        due_ = due_ || !held_.empty() || !stops_.empty();
        listener_.on_reachable(entry_.id, true, leaving_);
    }
}

void worker_link::settle_held(const worker_report& report)
{
    std::map<attempt_id, resources> running;
    for (const running_attempt& attempt : report.running)
    {
        running.emplace(attempt.attempt, attempt.usage);
    }
    std::set<attempt_id> ended_attempts;
    for (const ended_attempt& ended : report.ended)
    {
        ended_attempts.insert(ended.attempt);
        starts_.erase(ended.attempt);
    }
    std::map<attempt_id, refusal_code> refused;
    for (const refused_start& start : report.refused)
    {
        refused.emplace(start.attempt, start.code);
    }
    const std::map<attempt_id, attempt_phase> before = held_;
    for (const auto& [attempt, phase] : before)
    {
        if (auto at = running.find(attempt); at != running.end())
        {
            held_[attempt] = attempt_phase::running;
            starts_.erase(attempt);
            if (phase != attempt_phase::running)
            {
                listener_.on_started(entry_.id, attempt);
            }
            listener_.on_usage(attempt, at->second);
            continue;
        }
        if (ended_attempts.contains(attempt))
        {
            continue;
        }
        if (auto at = refused.find(attempt); at != refused.end())
        {
            held_.erase(attempt);
            starts_.erase(attempt);
            listener_.on_refused(entry_.id, attempt, at->second);
            continue;
        }
        if (phase == attempt_phase::running || phase == attempt_phase::adopted)
        {
            held_.erase(attempt);
            starts_.erase(attempt);
            listener_.on_missing(entry_.id, attempt);
        }
    }
    for (const ended_attempt& ended : report.ended)
    {
        listener_.on_ended(entry_.id, ended);
    }
}

void worker_link::stop_unknown_attempts(const worker_report& report)
{
    has_unknown_attempts_ = false;
    for (const running_attempt& attempt : report.running)
    {
        if (held_.contains(attempt.attempt))
        {
            continue;
        }
        has_unknown_attempts_ = true;
        stops_[attempt.attempt] = stop_manner::stop;
        due_ = true;
        listener_.on_unknown_attempt(entry_.id, attempt.attempt);
    }
}

void worker_link::check_lapse(instant now)
{
    if (held_.empty() || reachable_ || now <= lapse_at_)
    {
        return;
    }
    lapse_all();
}

void worker_link::lapse_all()
{
    const std::map<attempt_id, attempt_phase> ended = std::move(held_);
    held_.clear();
    starts_.clear();
    for (const auto& [attempt, phase] : ended)
    {
        if (phase == attempt_phase::unsent)
        {
            listener_.on_refused(entry_.id, attempt, refusal_code::unreachable);
            continue;
        }
        listener_.on_lapsed(entry_.id, attempt);
    }
}

} // namespace acaciastile
