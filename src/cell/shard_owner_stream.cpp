// Records that a shard owner writes to its stream and reads back.

#include "cell/shard_owner.hpp"

#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr milliseconds restate_interval{1'000};

/// Returns the indexes of the job's queued tasks, in ascending order.
std::vector<std::uint32_t> waiting_tasks(const job_progress& job)
{
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    {
        if (job.tasks[index].state == task_state::queued)
        {
            indexes.push_back(index);
        }
    }
    return indexes;
}

} // namespace

void shard_owner::write(
    const job_id& job,
    shard_change change,
    milliseconds patience,
    completion<fold_outcome> done)
{
    ++pending_records_[job];
    shard_record record{host_.next_record_id(), epoch_, std::move(change)};
    std::string body = encode(record);
    std::weak_ptr<bool> alive = alive_;
    writer_->write(
        now(),
        record.id,
        std::move(body),
        patience,
        [this, alive, job, done = std::move(done)](result<fold_outcome> outcome)
        {
            if (alive.expired())
            {
                return;
            }
            settled(job);
            if (done)
            {
                done(std::move(outcome));
            }
        });
}

void shard_owner::settled(const job_id& job)
{
    auto at = pending_records_.find(job);
    if (--at->second == 0)
    {
        pending_records_.erase(at);
    }
}

void shard_owner::on_entry(const log_entry& entry)
{
    result<shard_record> record = decode_shard_record(entry.body);
    if (!record)
    {
        return;
    }
    const fold_outcome outcome = fold_.apply(entry.offset, *record);
    if (fold_.epoch() > epoch_)
    {
        on_epoch_lost({});
        return;
    }
    if (!open_ && fold_.epoch() == epoch_)
    {
        open();
    }
    else if (open_ && outcome.accepted())
    {
        on_record_applied(*record, outcome);
    }
    writer_->settle(record->id, outcome);
}

void shard_owner::open()
{
    open_ = true;
    for (const worker_entry& worker : shard_.workers)
    {
        add_link(worker);
    }
    for (const auto& [id, job] : fold_.jobs())
    {
        if (!job.moved_to.empty())
        {
            unconfirmed_moves_.emplace(id, now());
            continue;
        }
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        {
            const task_progress& task = job.tasks[index];
            if (is_final(task.state) || task.worker.empty())
            {
                continue;
            }
            const attempt_id attempt{{id, index}, task.attempts};
            if (worker_link* holder = link(task.worker))
            {
                holder->adopt(attempt);
                scheduler_->add_running(
                    make_request(job.spec, {}), index, task.worker);
                continue;
            }
            // The worker has left the inventory and cannot be asked: the
            // attempt counts as lost once its lease must have lapsed.
            delayed_tasks_.emplace(former_owner_silent_, attempt.task);
        }
        enqueue_waiting(job);
    }
}

void shard_owner::on_record_applied(
    const shard_record& record, const fold_outcome& outcome)
{
    (void)outcome;
    if (const auto* accepted = std::get_if<job_accepted>(&record.change))
    {
        enqueue_waiting(*fold_.find(accepted->spec.id));
    }
    else if (auto* assigned = std::get_if<attempt_assigned>(&record.change))
    {
        on_attempt_assigned(*assigned);
    }
    else if (const auto* ended = std::get_if<attempt_ended>(&record.change))
    {
        on_attempt_ended(*ended);
    }
    else if (const auto* gone = std::get_if<job_cancelled>(&record.change))
    {
        on_job_cancelled(gone->job);
    }
    else if (const auto* moved = std::get_if<job_moved>(&record.change))
    {
        dequeue(moved->job);
        redirect_waiters(moved->job);
        unconfirmed_moves_.emplace(moved->job, now());
    }
}

void shard_owner::on_attempt_assigned(const attempt_assigned& assigned)
{
    const task_id& task = assigned.attempt.task;
    const job_progress* job = fold_.find(task.job);
    auto decided = pending_assignments_.find(task);
    if (decided == pending_assignments_.end() ||
        decided->second != assigned.worker)
    {
        // An earlier append without an answer has stored its assignment.
        scheduler_->add_running(
            make_request(job->spec, {}), task.index, assigned.worker);
    }
    pending_assignments_.erase(task);
    queued_.erase(task);
    queued_at_.erase(task);
    worker_link* holder = link(assigned.worker);
    if (holder == nullptr)
    {
        end_attempt(
            assigned.attempt,
            task_state::queued,
            {},
            "the worker left the inventory before the start");
        return;
    }
    holder->start(make_start(job->spec, assigned.attempt));
}

void shard_owner::on_attempt_ended(const attempt_ended& ended)
{
    const job_progress* job = fold_.find(ended.attempt.task.job);
    pending_ends_.erase(ended.attempt);
    for (auto& [id, worker] : links_)
    {
        if (worker->held().contains(ended.attempt))
        {
            worker->forget(ended.attempt);
        }
    }
    if (job == nullptr)
    {
        return;
    }
    const std::uint32_t index = ended.attempt.task.index;
    const task_progress& task = job->tasks[index];
    if (task.state != task_state::queued)
    {
        notify_answer_waiters(
            job->spec.id, task.state, job->answer, job->reason);
        return;
    }
    if (ended.reason.empty())
    {
        enqueue(job->spec, {index});
        return;
    }
    milliseconds delay = settings_.retry_after_failure;
    for (std::uint32_t done = 1; done < task.attempts; ++done)
    {
        delay = std::min(delay * 2, settings_.retry_after_failure_cap);
    }
    delayed_tasks_.emplace(now() + delay, ended.attempt.task);
}

void shard_owner::on_job_cancelled(const job_id& id)
{
    const job_progress* job = fold_.find(id);
    dequeue(id);
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index)
    {
        const task_progress& task = job->tasks[index];
        queued_at_.erase({id, index});
        if (worker_link* holder = link(task.worker))
        {
            const attempt_id attempt{{id, index}, task.attempts};
            if (holder->cancel_unsent_start(attempt))
            {
                scheduler_->end(attempt.task, {});
                end_attempt(attempt, task_state::cancelled, {}, {});
                continue;
            }
            holder->stop(attempt, stop_manner::stop);
        }
    }
    emit(event_number::job_cancelled, {{"job", id.str()}});
    if (job->is_final())
    {
        notify_answer_waiters(id, task_state::cancelled, {}, {});
    }
}

void shard_owner::redirect_waiters(const job_id& job)
{
    auto node = answer_waiters_.extract(job);
    if (node.empty())
    {
        return;
    }
    // On this refusal the caller's instance asks again and learns the new
    // shard.
    for (const auto& waiter : node.mapped())
    {
        waiter(refuse(
            refusal_code::not_owner,
            verdict::may_have_run,
            "the request went to another shard"));
    }
}

void shard_owner::check_log()
{
    const bool up = !reader_->failing();
    if (up == log_up_ || !open_)
    {
        return;
    }
    log_up_ = up;
    emit(
        up ? event_number::log_up : event_number::log_down,
        {{"stream", shard_stream(shard_.id).str()}});
    for (const auto& [id, job] : fold_.jobs())
    {
        if (job.is_final() || !job.moved_to.empty())
        {
            continue;
        }
        if (up)
        {
            enqueue_waiting(job);
        }
        else
        {
            dequeue(id);
        }
    }
}

void shard_owner::restate_due_jobs()
{
    if (now() < next_restate_ || !log_up_ || fold_.jobs().empty())
    {
        return;
    }
    if (next_restate_ == instant{})
    {
        next_restate_ = now() + restate_interval;
        return;
    }
    next_restate_ = now() + restate_interval;
    const std::size_t all = fold_.jobs().size();
    const std::size_t rounds = static_cast<std::size_t>(
        std::max<std::int64_t>(1, settings_.restate_period / restate_interval));
    // The remainder is spread at random, so that with fewer jobs than rounds
    // only some rounds restate a job.
    const std::size_t whole = all / rounds;
    const bool extra = random_() % rounds < all % rounds;
    std::size_t count = whole + (extra ? 1 : 0);
    auto at = fold_.jobs().upper_bound(restated_last_);
    while (count-- > 0)
    {
        if (at == fold_.jobs().end())
        {
            at = fold_.jobs().begin();
        }
        restated_last_ = at->first;
        if (!pending_records_.contains(at->first))
        {
            write(
                at->first,
                shard_fold::restate(at->second),
                settings_.write_patience,
                {});
        }
        ++at;
    }
}

void shard_owner::enqueue_waiting(const job_progress& job)
{
    std::vector<std::uint32_t> indexes = waiting_tasks(job);
    std::erase_if(
        indexes,
        [this, &job](std::uint32_t index)
        {
            const task_id task{job.spec.id, index};
            return pending_assignments_.contains(task) ||
                   queued_.contains(task);
        });
    if (!indexes.empty() && job.moved_to.empty())
    {
        enqueue(job.spec, std::move(indexes));
    }
}

} // namespace acaciastile
