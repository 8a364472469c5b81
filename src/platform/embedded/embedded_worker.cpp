#include "platform/embedded/embedded_worker.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

run_event event_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        return run_event::succeeded;
    case attempt_outcome::failed:
        return run_event::failed;
    case attempt_outcome::stopped:
        return run_event::stopped;
    case attempt_outcome::checkpointed:
        return run_event::checkpointed;
    case attempt_outcome::lapsed:
        return run_event::lapsed;
    }
    return run_event::failed;
}

std::string reason_of(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::failed:
        return "the task failed";
    case attempt_outcome::lapsed:
        return "its lease lapsed";
    default:
        return {};
    }
}

bool holds_lease(const worker_call& message)
{
    return !message.renew.empty() || !message.start.empty();
}

} // namespace

embedded_worker::embedded_worker(
    instant now, embedded_worker_settings settings, run_journal& journal)
    : settings_(std::move(settings)),
      journal_(journal),
      clock_(now, settings_.clock_offset, settings_.clock_drift_ppm)
{
}

result<worker_report>
embedded_worker::handle(instant now, const worker_call& message)
{
    advance(now);
    if (auto checked = check(now, message); !checked)
    {
        return tl::unexpected(checked.error());
    }
    if (message.seal)
    {
        sealed_ = message.epoch;
    }
    latest_lease_ = std::max(latest_lease_, message.lease_until);
    worker_report report;
    forget(now, message);
    stop(now, message);
    renew(message);
    for (const start_command& command : message.start)
    {
        start(now, message, command, report);
    }
    fill(now, report);
    return report;
}

result<void>
embedded_worker::check(instant now, const worker_call& message) const
{
    if (message.worker != settings_.id)
    {
        return refuse(
            refusal_code::unknown_worker,
            "this is worker " + settings_.id.str());
    }
    if (auto checked = check_epoch(message); !checked)
    {
        return checked;
    }
    if (holds_lease(message) && clock_.at(now) > message.lease_until)
    {
        return refuse(
            refusal_code::stale_lease,
            "the message arrived after the end of its leases");
    }
    return {};
}

result<void> embedded_worker::check_epoch(const worker_call& message) const
{
    const bool only_seals =
        message.incarnation == 0 && message.seal && !holds_lease(message);
    if (message.incarnation != incarnation_ && !only_seals)
    {
        return refuse(
            refusal_code::stale_epoch,
            "the worker is incarnation " + std::to_string(incarnation_));
    }
    const bool fits =
        message.seal ? message.epoch >= sealed_ : message.epoch == sealed_;
    if (!fits)
    {
        return refuse(
            refusal_code::stale_epoch,
            "the worker is sealed by epoch " + std::to_string(sealed_));
    }
    return {};
}

void embedded_worker::forget(instant now, const worker_call& message)
{
    const worker_instant reading = clock_.at(now);
    std::erase_if(
        forgotten_, [&](const auto& each) { return each.second < reading; });
    for (const attempt_id& attempt : message.forget)
    {
        if (ended_.erase(attempt) != 0)
        {
            forgotten_[attempt] = latest_lease_;
        }
    }
}

void embedded_worker::stop(instant now, const worker_call& message)
{
    for (const stop_command& command : message.stop)
    {
        auto at = running_.find(command.attempt);
        if (at == running_.end())
        {
            continue;
        }
        const bool checkpoint = command.manner == stop_manner::checkpoint;
        end(now,
            at,
            checkpoint ? attempt_outcome::checkpointed
                       : attempt_outcome::stopped);
    }
}

void embedded_worker::renew(const worker_call& message)
{
    for (const attempt_id& attempt : message.renew)
    {
        auto at = running_.find(attempt);
        if (at != running_.end())
        {
            worker_instant& lease = at->second.lease_until;
            lease = std::max(lease, message.lease_until);
        }
    }
}

void embedded_worker::start(
    instant now,
    const worker_call& message,
    const start_command& command,
    worker_report& report)
{
    auto running = running_.find(command.attempt);
    if (running != running_.end())
    {
        worker_instant& lease = running->second.lease_until;
        lease = std::max(lease, message.lease_until);
        return;
    }
    if (ended_.contains(command.attempt) ||
        forgotten_.contains(command.attempt))
    {
        return;
    }
    if (leaving_)
    {
        report.refused.push_back(
            {command.attempt, refusal_code::worker_leaving});
        return;
    }
    if (!(used_ + command.needs).fits_in(settings_.capacity))
    {
        report.refused.push_back({command.attempt, refusal_code::worker_full});
        return;
    }
    run(now, message, command);
}

void embedded_worker::run(
    instant now, const worker_call& message, const start_command& command)
{
    running_task task;
    task.start = command;
    task.script = script_of(command);
    task.epoch = message.epoch;
    task.started = now;
    task.lease_until = message.lease_until;
    if (failing_)
    {
        task.script.fails = true;
        task.script.run_time = settings_.failure_after;
    }
    if (task.script.run_time)
    {
        task.ends = now + *task.script.run_time;
    }
    used_ += command.needs;
    write(now, task, run_event::started);
    running_.emplace(command.attempt, std::move(task));
}

bool embedded_worker::advance(instant now)
{
    bool any = false;
    const worker_instant reading = clock_.at(now);
    for (auto at = running_.begin(); at != running_.end();)
    {
        const running_task& task = at->second;
        if (task.ends <= now)
        {
            at =
                end(now,
                    at,
                    task.script.fails ? attempt_outcome::failed
                                      : attempt_outcome::succeeded);
            any = true;
        }
        else if (reading > task.lease_until)
        {
            at = end(now, at, attempt_outcome::lapsed);
            any = true;
        }
        else
        {
            ++at;
        }
    }
    return any;
}

instant embedded_worker::next_end() const
{
    instant first = instant::max();
    worker_instant first_lapse = worker_instant::max();
    for (const auto& [attempt, task] : running_)
    {
        first = std::min(first, task.ends);
        first_lapse = std::min(first_lapse, task.lease_until);
    }
    if (first_lapse == worker_instant::max())
    {
        return first;
    }
    return std::min(first, clock_.when(first_lapse + milliseconds{1}));
}

void embedded_worker::kill(instant now)
{
    advance(now);
    for (const auto& [attempt, task] : running_)
    {
        write(now, task, run_event::killed);
    }
    running_.clear();
    ended_.clear();
    forgotten_.clear();
    used_ = {};
    sealed_ = 0;
    latest_lease_ = {};
    leaving_ = false;
    ++incarnation_;
    clock_ =
        skewed_clock(now, settings_.clock_offset, settings_.clock_drift_ppm);
}

void embedded_worker::set_drift(instant now, std::int64_t drift_ppm)
{
    clock_.set_drift(now, drift_ppm);
}

void embedded_worker::pause_clock(instant now, bool paused)
{
    clock_.set_paused(now, paused);
}

embedded_worker::running_map::iterator embedded_worker::end(
    instant now, running_map::iterator at, attempt_outcome outcome)
{
    const running_task& task = at->second;
    ended_attempt ended;
    ended.attempt = at->first;
    ended.outcome = outcome;
    ended.reason = reason_of(outcome);
    ended.ran = now - task.started;
    ended.peak_usage = task.script.usage;
    if (outcome == attempt_outcome::succeeded)
    {
        ended.answer = task.script.answer;
    }
    write(now, task, event_of(outcome));
    used_ -= task.start.needs;
    ended_.emplace(at->first, std::move(ended));
    return running_.erase(at);
}

void embedded_worker::write(
    instant now, const running_task& task, run_event what)
{
    journal_.add(
        {now,
         settings_.id,
         incarnation_,
         task.epoch,
         task.start.attempt,
         what,
         task.start.needs,
         settings_.capacity});
}

void embedded_worker::fill(instant now, worker_report& report) const
{
    report.worker = settings_.id;
    report.clock = clock_.at(now);
    report.incarnation = incarnation_;
    report.sealed = sealed_;
    report.leaving = leaving_;
    report.capacity = settings_.capacity;
    report.running.reserve(running_.size());
    for (const auto& [attempt, task] : running_)
    {
        const bool measured = now - task.started >= settings_.usage_lag;
        report.running.push_back(
            {attempt,
             task.start.needs,
             measured ? task.script.usage : resources{},
             task.lease_until});
    }
    report.ended.reserve(ended_.size());
    for (const auto& [attempt, ended] : ended_)
    {
        report.ended.push_back(ended);
    }
}

} // namespace acaciastile
