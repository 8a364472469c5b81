// Calls to a shard owner: submissions, requests, cancellation and status.

#include "cell/shard_owner.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr milliseconds move_retry{1'000};

job_status describe(const job_spec& spec, const shard_id& shard)
{
    job_status status;
    status.job = spec.id;
    status.team = spec.team;
    status.queue = spec.queue;
    status.kind = spec.kind;
    status.shard = shard;
    return status;
}

std::size_t index_of(task_state state)
{
    return static_cast<std::size_t>(state);
}

} // namespace

result<void> shard_owner::admit(const job_spec& spec) const
{
    if (lost_ || !open_)
    {
        return refuse(
            refusal_code::no_owner,
            "the shard's owner has not finished taking over");
    }
    if (releasing_)
    {
        return refuse(
            refusal_code::not_owner, "the shard is being handed over");
    }
    const queue_rule* queue = host_.cell().rules_in_force().find(spec.queue);
    if (queue == nullptr)
    {
        return refuse(
            refusal_code::unknown_queue,
            "no queue '" + spec.queue.str() + "' is in force");
    }
    if (queued_.size() + spec.tasks > queue->queue_bound)
    {
        return refuse(
            refusal_code::queue_full,
            "the queue has reached its limit of waiting tasks");
    }
    return {};
}

void shard_owner::submit(job_spec spec, completion<job_status> done)
{
    const job_id id = spec.id;
    if (const job_progress* known = fold_.find(id))
    {
        if (known->spec != spec)
        {
            done(refuse(
                refusal_code::conflicting_id,
                "the id was used before for other content"));
            return;
        }
        done(status(id, false));
        return;
    }
    if (auto pending = pending_submissions_.find(id);
        pending != pending_submissions_.end())
    {
        if (pending->second.spec != spec)
        {
            done(refuse(
                refusal_code::conflicting_id,
                "the id was used before for other content"));
            return;
        }
        pending->second.waiters.push_back(std::move(done));
        return;
    }
    if (requests_.find(id) != nullptr || requests_.kept_answer(id) != nullptr)
    {
        done(refuse(
            refusal_code::conflicting_id,
            "the id was used before for a repeatable request"));
        return;
    }
    if (auto admitted = admit(spec); !admitted)
    {
        done(tl::unexpected(admitted.error()));
        return;
    }
    const auto judged = scheduler_->check_feasible(make_request(spec, {}));
    std::optional<shard_id> elsewhere;
    if (!judged)
    {
        elsewhere = host_.find_shard_for(spec, shard_.id);
        if (!elsewhere)
        {
            done(tl::unexpected(judged.error()));
            return;
        }
    }
    submission& made = pending_submissions_[id];
    made.spec = spec;
    made.waiters.push_back(std::move(done));
    write(
        id,
        job_accepted{spec},
        settings_.write_patience,
        [this, id](result<fold_outcome> outcome)
        { on_submitted(id, std::move(outcome)); });
    if (elsewhere)
    {
        write(id, job_moved{id, *elsewhere}, settings_.write_patience, nullptr);
        return;
    }
    // Enqueued before the acceptance is stored, so that the records of the
    // acceptance and of the assignment can share one append.
    std::vector<std::uint32_t> indexes(spec.tasks);
    for (std::uint32_t index = 0; index < spec.tasks; ++index)
    {
        indexes[index] = index;
    }
    enqueue(spec, std::move(indexes));
}

void shard_owner::on_submitted(const job_id& id, result<fold_outcome> outcome)
{
    auto node = pending_submissions_.extract(id);
    if (node.empty())
    {
        return;
    }
    result<job_status> told = status(id, false);
    if (!outcome)
    {
        dequeue(id);
        told = tl::unexpected(outcome.error());
    }
    else if (outcome->refusal)
    {
        dequeue(id);
        told = tl::unexpected(*outcome->refusal);
    }
    else
    {
        emit(event_number::job_accepted, {{"job", id.str()}});
    }
    for (const auto& waiter : node.mapped().waiters)
    {
        waiter(told);
    }
}

void shard_owner::request(
    job_spec spec, instant deadline, completion<request_answer> done)
{
    const job_id id = spec.id;
    if (!spec.repeatable)
    {
        request_nonrepeatable(std::move(spec), deadline, std::move(done));
        return;
    }
    if (const result<request_answer>* kept = requests_.kept_answer(id))
    {
        result<request_answer> again = *kept;
        if (again)
        {
            again->repeated = true;
        }
        done(std::move(again));
        return;
    }
    if (live_request* live = requests_.find(id))
    {
        live->waiters.push_back(std::move(done));
        return;
    }
    if (spec_of(id) != nullptr)
    {
        done(refuse(
            refusal_code::conflicting_id, "the id was used before for a job"));
        return;
    }
    if (auto admitted = admit(spec); !admitted)
    {
        done(tl::unexpected(admitted.error()));
        return;
    }
    if (auto judged = scheduler_->check_feasible(make_request(spec, {0}));
        !judged)
    {
        done(tl::unexpected(judged.error()));
        return;
    }
    live_request& made = requests_.add(std::move(spec), now(), deadline);
    made.waiters.push_back(std::move(done));
    enqueue_request(made);
}

void shard_owner::request_nonrepeatable(
    job_spec spec, instant deadline, completion<request_answer> done)
{
    const job_id id = spec.id;
    std::weak_ptr<bool> alive = alive_;
    auto shared = std::make_shared<completion<request_answer>>(std::move(done));
    submit(
        std::move(spec),
        [this, alive, id, deadline, shared](result<job_status> accepted)
        {
            if (!accepted)
            {
                (*shared)(tl::unexpected(std::move(accepted.error())));
                return;
            }
            if (alive.expired())
            {
                (*shared)(refuse(
                    refusal_code::not_owner,
                    verdict::may_have_run,
                    "the shard has another owner now"));
                return;
            }
            wait_for_answer(id, deadline, std::move(*shared));
        });
}

void shard_owner::wait_for_answer(
    const job_id& id, instant deadline, completion<request_answer> done)
{
    const job_progress* job = fold_.find(id);
    answer_waiters_[id].push_back(std::move(done));
    if (job == nullptr || !job->is_final())
    {
        answer_deadlines_.emplace(deadline, id);
        return;
    }
    notify_answer_waiters(id, job->tasks[0].state, job->answer, job->reason);
}

void shard_owner::cancel(const job_id& job, completion<job_status> done)
{
    if (live_request* request = requests_.find(job))
    {
        cancel_request(*request);
        done(refuse(
            refusal_code::unknown_job,
            "the request was cancelled; its caller was told"));
        return;
    }
    const job_progress* known = fold_.find(job);
    if (known == nullptr)
    {
        done(refuse(refusal_code::unknown_job, "no job has that id"));
        return;
    }
    if (known->cancelled || known->is_final())
    {
        done(status(job, false));
        return;
    }
    write(
        job,
        job_cancelled{job},
        settings_.write_patience,
        [this, job, done = std::move(done)](result<fold_outcome> outcome)
        {
            if (!outcome)
            {
                done(tl::unexpected(outcome.error()));
                return;
            }
            done(status(job, false));
        });
}

void shard_owner::cancel_request(live_request& request)
{
    const job_id id = request.spec.id;
    const attempt_id attempt{{id, 0}, request.attempts};
    bool may_have_run = request.may_have_run;
    dequeue(id);
    if (worker_link* holder = request.worker ? link(*request.worker) : nullptr)
    {
        if (holder->cancel_unsent_start(attempt))
        {
            scheduler_->end(attempt.task, {});
            may_have_run = request.confirmed;
        }
        else
        {
            holder->stop(attempt, stop_manner::stop);
        }
    }
    requests_.finish(
        now(),
        id,
        refuse(
            refusal_code::cancelled,
            may_have_run ? verdict::may_have_run : verdict::not_run,
            "the request was cancelled"),
        false);
}

result<job_status> shard_owner::status(const job_id& id, bool why) const
{
    if (const live_request* request = requests_.find(id))
    {
        job_status status = describe(request->spec, shard_.id);
        const task_state state = request->confirmed ? task_state::running
                                 : request->worker  ? task_state::starting
                                                    : task_state::queued;
        status.tasks[index_of(state)] = 1;
        return status;
    }
    const job_progress* job = fold_.find(id);
    if (job == nullptr)
    {
        return refuse(refusal_code::unknown_job, "no job has that id");
    }
    job_status status = describe(job->spec, shard_.id);
    status.cancelled = job->cancelled;
    status.answer = job->answer;
    status.reason = job->reason;
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index)
    {
        const task_progress& task = job->tasks[index];
        task_state state = task.state;
        auto holder = links_.find(task.worker);
        if (state == task_state::starting && holder != links_.end())
        {
            const auto& held = holder->second->held();
            auto at = held.find({{id, index}, task.attempts});
            if (at != held.end() && at->second == attempt_phase::running)
            {
                state = task_state::running;
                status.running_on.push_back(
                    std::to_string(index) + "@" + task.worker.str());
            }
        }
        ++status.tasks[index_of(state)];
    }
    if (why && status.tasks[index_of(task_state::queued)] > 0)
    {
        if (auto explained = scheduler_->explain(id))
        {
            status.why = *explained;
        }
        else if (!log_up_)
        {
            status.why = explanation{
                "log_unavailable",
                "the platform's log does not answer; no attempt starts before "
                "its assignment is stored",
                0,
                0,
                0};
        }
    }
    return status;
}

shard_id shard_owner::moved_to(const job_id& id) const
{
    const job_progress* job = fold_.find(id);
    return job == nullptr ? shard_id() : job->moved_to;
}

std::vector<job_status> shard_owner::list(const job_filter& filter) const
{
    std::vector<job_status> all;
    for (const auto& [id, job] : fold_.jobs())
    {
        if (all.size() >= filter.limit)
        {
            break;
        }
        const bool wanted = filter.team.empty() || filter.team == job.spec.team;
        if (wanted && job.moved_to.empty())
        {
            all.push_back(*status(id, false));
        }
    }
    return all;
}

std::vector<worker_status> shard_owner::workers() const
{
    std::vector<worker_status> all;
    for (const auto& [id, worker] : links_)
    {
        worker_status status;
        status.entry = worker->entry();
        status.shard = shard_.id;
        status.tasks = static_cast<std::uint32_t>(worker->held().size());
        for (const auto& [attempt, phase] : worker->held())
        {
            if (const job_spec* spec = spec_of(attempt.task.job))
            {
                status.used += spec->each;
            }
            else if (auto* request = requests_.find(attempt.task.job))
            {
                status.used += request->spec.each;
            }
        }
        status.state = !worker->reachable()          ? "unreachable"
                       : !worker->sealed()           ? "unsealed"
                       : worker->leaving()           ? "leaving"
                       : host_.cell().is_drained(id) ? "drained"
                                                     : "open";
        all.push_back(std::move(status));
    }
    return all;
}

void shard_owner::deliver_moves()
{
    for (auto& [id, next_try] : unconfirmed_moves_)
    {
        if (now() < next_try)
        {
            continue;
        }
        next_try = now() + move_retry;
        const job_progress* job = fold_.find(id);
        if (job == nullptr)
        {
            continue;
        }
        std::weak_ptr<bool> alive = alive_;
        host_.hand_over_job(
            job->moved_to,
            job->spec,
            [this, alive, id = id](result<bool> taken)
            {
                if (!alive.expired() && taken)
                {
                    confirmed_moves_.push_back(id);
                }
            });
    }
    for (const job_id& id : std::exchange(confirmed_moves_, {}))
    {
        unconfirmed_moves_.erase(id);
    }
}

} // namespace acaciastile
