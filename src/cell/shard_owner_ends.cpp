// Workers' reports and the ends of attempts.

#include "cell/shard_owner.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

task_end make_task_end(const ended_attempt& ended)
{
    task_end how;
    how.succeeded = ended.outcome == attempt_outcome::succeeded;
    how.worker_fault = ended.outcome == attempt_outcome::failed;
    how.stopped = ended.outcome != attempt_outcome::succeeded &&
                  ended.outcome != attempt_outcome::failed;
    how.ran = ended.ran;
    how.peak_usage = ended.peak_usage;
    return how;
}

/// The end of a lost attempt. It does not count against the worker and carries
/// no usage.
task_end lost_end()
{
    task_end how;
    how.stopped = true;
    return how;
}

} // namespace

void shard_owner::on_sealed(const worker_id& worker)
{
    emit(event_number::worker_sealed, {{"worker", worker.str()}});
    next_refresh_ = instant{};
    host_.confirm_claims();
}

void shard_owner::on_reachable(
    const worker_id& worker, bool reachable, bool leaving)
{
    (void)leaving;
    worker_link* changed = link(worker);
    if (changed == nullptr)
    {
        return;
    }
    set_worker_state_of(*changed);
    if (reachable)
    {
        return;
    }
    emit(event_number::worker_unreachable, {{"worker", worker.str()}});
    std::vector<attempt_id> unsent;
    for (const auto& [attempt, phase] : changed->held())
    {
        if (phase == attempt_phase::unsent)
        {
            unsent.push_back(attempt);
        }
    }
    for (const attempt_id& attempt : unsent)
    {
        if (changed->cancel_unsent_start(attempt))
        {
            on_refused(worker, attempt, refusal_code::unreachable);
        }
    }
}

void shard_owner::on_started(const worker_id& worker, const attempt_id& attempt)
{
    emit(
        event_number::attempt_started,
        {{"attempt", to_string(attempt)}, {"worker", worker.str()}});
    if (live_request* request = requests_.find(attempt.task.job))
    {
        request->confirmed = true;
    }
}

void shard_owner::on_usage(const attempt_id& attempt, const resources& usage)
{
    scheduler_->set_usage(attempt.task, usage);
}

void shard_owner::on_ended(const worker_id& worker, const ended_attempt& ended)
{
    const attempt_id& attempt = ended.attempt;
    worker_link* holder = link(worker);
    const bool held = holder->held().contains(attempt);
    if (const live_request* request = requests_.find(attempt.task.job))
    {
        const bool current = request->attempts == attempt.number && held;
        holder->forget(attempt);
        if (current)
        {
            emit(
                event_number::attempt_ended,
                {{"attempt", to_string(attempt)}, {"worker", worker.str()}});
            scheduler_->end(attempt.task, make_task_end(ended));
            end_request(attempt, ended);
        }
        return;
    }
    const job_progress* job = fold_.find(attempt.task.job);
    if (job == nullptr || !held)
    {
        if (!pending_ends_.contains(attempt))
        {
            holder->forget(attempt);
            if (held)
            {
                scheduler_->end(attempt.task, make_task_end(ended));
            }
        }
        return;
    }
    if (pending_ends_.contains(attempt))
    {
        return;
    }
    emit(
        event_number::attempt_ended,
        {{"attempt", to_string(attempt)}, {"worker", worker.str()}});
    scheduler_->end(attempt.task, make_task_end(ended));
    if (ended.outcome == attempt_outcome::lapsed)
    {
        handle_lost_attempt(attempt, "its lease lapsed on the worker");
        return;
    }
    end_attempt(attempt, state_after(*job, ended), ended.answer, ended.reason);
}

task_state shard_owner::state_after(
    const job_progress& job, const ended_attempt& ended) const
{
    const job_spec& spec = job.spec;
    const bool again = spec.repeatable && !job.cancelled;
    const task_state otherwise =
        job.cancelled ? task_state::cancelled : task_state::failed;
    switch (ended.outcome)
    {
    case attempt_outcome::succeeded:
        return spec.kind == job_kind::service && again ? task_state::queued
                                                       : task_state::succeeded;
    case attempt_outcome::failed:
        if (spec.kind == job_kind::service && again)
        {
            return task_state::queued;
        }
        return again && ended.attempt.number < spec.max_attempts
                   ? task_state::queued
                   : task_state::failed;
    case attempt_outcome::stopped:
    case attempt_outcome::checkpointed:
        return again ? task_state::queued : otherwise;
    case attempt_outcome::lapsed:
        break;
    }
    return again ? task_state::queued : task_state::unknown;
}

void shard_owner::on_refused(
    const worker_id& worker, const attempt_id& attempt, refusal_code code)
{
    task_end how;
    how.succeeded = false;
    how.worker_fault = code == refusal_code::worker_full;
    scheduler_->end(attempt.task, how);
    if (live_request* request = requests_.find(attempt.task.job))
    {
        // The refused attempt did not run, but an earlier one may have.
        request->may_have_run = request->confirmed;
        enqueue_request(*request);
        return;
    }
    if (fold_.find(attempt.task.job) != nullptr)
    {
        end_attempt(attempt, task_state::queued, {}, {});
    }
    (void)worker;
}

void shard_owner::on_missing(const worker_id& worker, const attempt_id& attempt)
{
    (void)worker;
    scheduler_->end(attempt.task, lost_end());
    handle_lost_attempt(attempt, "its worker does not know it any more");
}

void shard_owner::on_unknown_attempt(
    const worker_id& worker, const attempt_id& attempt)
{
    (void)worker;
    (void)attempt;
}

void shard_owner::on_lapsed(const worker_id& worker, const attempt_id& attempt)
{
    emit(
        event_number::worker_lapsed,
        {{"attempt", to_string(attempt)}, {"worker", worker.str()}});
    scheduler_->end(attempt.task, lost_end());
    handle_lost_attempt(attempt, "its lease lapsed");
}

void shard_owner::on_epoch_lost(const worker_id& worker)
{
    (void)worker;
    if (lost_)
    {
        return;
    }
    lost_ = true;
    emit(event_number::shard_lost, {});
    silence();
}

void shard_owner::handle_lost_attempt(
    const attempt_id& attempt, std::string reason)
{
    if (live_request* request = requests_.find(attempt.task.job))
    {
        retry_request(*request, true);
        return;
    }
    const job_progress* job = fold_.find(attempt.task.job);
    if (job == nullptr)
    {
        return;
    }
    if (job->spec.repeatable)
    {
        end_attempt(attempt, task_state::queued, {}, {});
        return;
    }
    emit(event_number::attempt_unknown, {{"attempt", to_string(attempt)}});
    end_attempt(attempt, task_state::unknown, {}, std::move(reason));
}

void shard_owner::end_attempt(
    const attempt_id& attempt,
    task_state state,
    std::string answer,
    std::string reason)
{
    notify_answer_waiters(attempt.task.job, state, answer, reason);
    write_end({attempt, state, std::move(answer), std::move(reason)});
}

void shard_owner::write_end(attempt_ended ended)
{
    const attempt_id attempt = ended.attempt;
    pending_ends_.insert_or_assign(attempt, ended);
    write(
        attempt.task.job,
        std::move(ended),
        settings_.write_patience,
        [this, attempt](result<fold_outcome> outcome)
        {
            auto at = pending_ends_.find(attempt);
            if (at == pending_ends_.end())
            {
                return;
            }
            if (outcome)
            {
                // Refused: the log already has the attempt's end.
                pending_ends_.erase(at);
                return;
            }
            write_end(at->second);
        });
}

void shard_owner::notify_answer_waiters(
    const job_id& job,
    task_state state,
    const std::string& answer,
    const std::string& reason)
{
    if (!is_final(state))
    {
        return;
    }
    auto node = answer_waiters_.extract(job);
    if (node.empty())
    {
        return;
    }
    result<request_answer> told = request_answer{job, answer, false};
    if (state == task_state::failed)
    {
        told = refuse(refusal_code::worker_failed, verdict::ran, reason);
    }
    else if (state == task_state::unknown)
    {
        told = refuse(
            refusal_code::outcome_unknown, verdict::may_have_run, reason);
    }
    else if (state == task_state::cancelled)
    {
        const job_progress* known = fold_.find(job);
        const bool started = known != nullptr && known->tasks[0].attempts > 0;
        told = refuse(
            refusal_code::cancelled,
            started ? verdict::may_have_run : verdict::not_run,
            "the request was cancelled");
    }
    for (const auto& waiter : node.mapped())
    {
        waiter(told);
    }
}

void shard_owner::end_request(
    const attempt_id& attempt, const ended_attempt& ended)
{
    live_request& request = *requests_.find(attempt.task.job);
    if (ended.outcome == attempt_outcome::succeeded)
    {
        const job_id id = request.spec.id;
        requests_.finish(
            now(), id, request_answer{id, ended.answer, false}, true);
        return;
    }
    if (ended.outcome == attempt_outcome::failed &&
        request.attempts >= request.spec.max_attempts)
    {
        requests_.finish(
            now(),
            request.spec.id,
            refuse(refusal_code::worker_failed, verdict::ran, ended.reason),
            false);
        return;
    }
    retry_request(request, true);
}

void shard_owner::retry_request(live_request& request, bool ran)
{
    request.may_have_run = request.may_have_run || ran;
    request.confirmed = request.confirmed || ran;
    request.worker.reset();
    enqueue_request(request);
}

void shard_owner::check_deadlines()
{
    for (const job_id& id : requests_.overdue(now()))
    {
        live_request& request = *requests_.find(id);
        const task_id task{id, 0};
        bool may_have_run = request.may_have_run;
        dequeue(id);
        if (request.worker)
        {
            worker_link* holder = link(*request.worker);
            const attempt_id attempt{task, request.attempts};
            if (holder != nullptr && holder->cancel_unsent_start(attempt))
            {
                scheduler_->end(task, {});
                may_have_run = request.confirmed;
            }
            else if (holder != nullptr)
            {
                holder->stop(attempt, stop_manner::stop);
            }
        }
        requests_.finish(
            now(),
            id,
            refuse(
                refusal_code::deadline_exceeded,
                may_have_run ? verdict::may_have_run : verdict::not_run,
                "the deadline passed before an answer came"),
            false);
    }
    while (!answer_deadlines_.empty() &&
           answer_deadlines_.begin()->first <= now())
    {
        const job_id id = answer_deadlines_.begin()->second;
        answer_deadlines_.erase(answer_deadlines_.begin());
        auto node = answer_waiters_.extract(id);
        if (node.empty())
        {
            continue;
        }
        const result<request_answer> told = refuse(
            refusal_code::deadline_exceeded,
            verdict::may_have_run,
            "the request was accepted and has not ended; query its status");
        for (const auto& waiter : node.mapped())
        {
            waiter(told);
        }
    }
    requests_.forget_answers(
        now() - settings_.answers_kept, settings_.answers_kept_count);
}

} // namespace acaciastile
