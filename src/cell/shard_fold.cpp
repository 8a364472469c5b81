#include "cell/shard_fold.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

std::optional<error> make_refusal(refusal_code code, std::string message)
{
    return error{code, verdict::not_run, std::move(message), {}};
}

/// Returns the attempt's task, or null if the attempt is not the task's
/// current one.
task_progress* current_task(job_progress& job, const attempt_id& attempt)
{
    if (attempt.task.index >= job.tasks.size())
    {
        return nullptr;
    }
    task_progress& task = job.tasks[attempt.task.index];
    if (task.attempts != attempt.number || task.worker.empty())
    {
        return nullptr;
    }
    return &task;
}

std::size_t count_open(const std::vector<task_progress>& tasks)
{
    auto open = [](const task_progress& task) { return !is_final(task.state); };
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), open));
}

} // namespace

fold_outcome shard_fold::apply(log_offset offset, const shard_record& record)
{
    fold_outcome outcome;
    outcome.offset = offset;
    if (offset <= applied_through_)
    {
        outcome.duplicate = true;
        return outcome;
    }
    applied_through_ = offset;
    outcome.refusal = fold(record, outcome.duplicate);
    return outcome;
}

const job_progress* shard_fold::find(const job_id& id) const noexcept
{
    auto at = jobs_.find(id);
    return at == jobs_.end() ? nullptr : &at->second;
}

job_restated shard_fold::restate(const job_progress& job)
{
    return {
        job.changed_at,
        job.spec,
        job.cancelled,
        job.moved_to,
        job.tasks,
        job.answer,
        job.reason};
}

shard_fold::refusal
shard_fold::fold(const shard_record& record, bool& duplicate)
{
    if (std::holds_alternative<epoch_opened>(record.change))
    {
        if (record.epoch == epoch_)
        {
            duplicate = true;
            return {};
        }
        if (record.epoch < epoch_)
        {
            return make_refusal(
                refusal_code::stale_epoch,
                "the shard was opened with a higher epoch");
        }
        epoch_ = record.epoch;
        return {};
    }
    if (record.epoch < epoch_)
    {
        return make_refusal(
            refusal_code::stale_epoch,
            "the shard was opened with a higher epoch");
    }
    // Retention may have removed the epoch_opened record of this epoch.
    epoch_ = record.epoch;
    if (auto* accepted = std::get_if<job_accepted>(&record.change))
    {
        return fold_accepted(*accepted, duplicate);
    }
    if (auto* cancelled = std::get_if<job_cancelled>(&record.change))
    {
        return fold_cancelled(*cancelled);
    }
    if (auto* assigned = std::get_if<attempt_assigned>(&record.change))
    {
        return fold_assigned(*assigned);
    }
    if (auto* ended = std::get_if<attempt_ended>(&record.change))
    {
        return fold_ended(*ended);
    }
    if (auto* moved = std::get_if<job_moved>(&record.change))
    {
        return fold_moved(*moved);
    }
    return fold_restated(std::get<job_restated>(record.change));
}

shard_fold::refusal
shard_fold::fold_accepted(const job_accepted& accepted, bool& duplicate)
{
    if (const job_progress* known = find(accepted.spec.id))
    {
        if (known->spec == accepted.spec)
        {
            duplicate = true;
            return {};
        }
        return make_refusal(
            refusal_code::conflicting_id,
            "the id was used before for other content");
    }
    job_progress job;
    job.spec = accepted.spec;
    job.tasks.resize(accepted.spec.tasks);
    job.open_tasks = job.tasks.size();
    job.accepted_at = applied_through_;
    job.changed_at = applied_through_;
    jobs_.emplace(accepted.spec.id, std::move(job));
    return {};
}

shard_fold::refusal shard_fold::fold_cancelled(const job_cancelled& cancelled)
{
    auto at = jobs_.find(cancelled.job);
    if (at == jobs_.end())
    {
        return make_refusal(refusal_code::unknown_job, "no job has that id");
    }
    job_progress& job = at->second;
    job.cancelled = true;
    job.changed_at = applied_through_;
    for (task_progress& task : job.tasks)
    {
        if (task.state == task_state::queued)
        {
            set_state(job, task, task_state::cancelled);
        }
    }
    return {};
}

shard_fold::refusal shard_fold::fold_assigned(const attempt_assigned& assigned)
{
    auto at = jobs_.find(assigned.attempt.task.job);
    if (at == jobs_.end())
    {
        return make_refusal(refusal_code::unknown_job, "no job has that id");
    }
    job_progress& job = at->second;
    const std::uint32_t index = assigned.attempt.task.index;
    if (index >= job.tasks.size() ||
        job.tasks[index].state != task_state::queued || !job.moved_to.empty() ||
        job.tasks[index].attempts + 1 != assigned.attempt.number)
    {
        return make_refusal(
            refusal_code::cancelled, "the task is no longer queued");
    }
    task_progress& task = job.tasks[index];
    job.changed_at = applied_through_;
    task.state = task_state::starting;
    task.attempts = assigned.attempt.number;
    task.worker = assigned.worker;
    return {};
}

shard_fold::refusal shard_fold::fold_ended(const attempt_ended& ended)
{
    auto at = jobs_.find(ended.attempt.task.job);
    if (at == jobs_.end())
    {
        return make_refusal(refusal_code::unknown_job, "no job has that id");
    }
    job_progress& job = at->second;
    task_progress* task = current_task(job, ended.attempt);
    if (task == nullptr)
    {
        return make_refusal(
            refusal_code::conflicting_id, "the attempt has already ended");
    }
    task->worker = worker_id();
    job.changed_at = applied_through_;
    if (!ended.answer.empty())
    {
        job.answer = ended.answer;
    }
    if (!ended.reason.empty())
    {
        job.reason = ended.reason;
    }
    const bool wants_again = ended.state == task_state::queued;
    set_state(
        job,
        *task,
        wants_again && job.cancelled ? task_state::cancelled : ended.state);
    return {};
}

shard_fold::refusal shard_fold::fold_moved(const job_moved& moved)
{
    auto at = jobs_.find(moved.job);
    if (at == jobs_.end())
    {
        return make_refusal(refusal_code::unknown_job, "no job has that id");
    }
    job_progress& job = at->second;
    auto waits = [](const task_progress& task)
    { return task.state == task_state::queued; };
    if (job.cancelled || !job.moved_to.empty() ||
        !std::all_of(job.tasks.begin(), job.tasks.end(), waits))
    {
        return make_refusal(
            refusal_code::cancelled,
            "only a job whose tasks are all queued can be moved");
    }
    job.moved_to = moved.to;
    job.changed_at = applied_through_;
    ended_.push_back(moved.job);
    forget_oldest_ended();
    return {};
}

shard_fold::refusal shard_fold::fold_restated(const job_restated& restated)
{
    const job_progress* known = find(restated.spec.id);
    if (known != nullptr && known->changed_at != restated.base)
    {
        return make_refusal(
            refusal_code::conflicting_id,
            "the job changed after the restated version");
    }
    job_progress& job = jobs_[restated.spec.id];
    const bool was_final = job.accepted_at != 0 && job.is_final();
    job.spec = restated.spec;
    job.cancelled = restated.cancelled;
    job.moved_to = restated.moved_to;
    job.tasks = restated.tasks;
    job.open_tasks = count_open(job.tasks);
    job.answer = restated.answer;
    job.reason = restated.reason;
    job.changed_at = applied_through_;
    if (job.accepted_at == 0)
    {
        job.accepted_at = applied_through_;
    }
    if (job.is_final() && !was_final)
    {
        ended_.push_back(job.spec.id);
        forget_oldest_ended();
    }
    return {};
}

void shard_fold::set_state(
    job_progress& job, task_progress& task, task_state state)
{
    const bool was_open = !is_final(task.state);
    task.state = state;
    if (!was_open || !is_final(state))
    {
        return;
    }
    --job.open_tasks;
    if (job.is_final())
    {
        ended_.push_back(job.spec.id);
        forget_oldest_ended();
    }
}

void shard_fold::forget_oldest_ended()
{
    while (ended_.size() > ended_jobs_kept)
    {
        jobs_.erase(ended_.front());
        ended_.pop_front();
    }
}

} // namespace acaciastile
