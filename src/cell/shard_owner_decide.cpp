// Placement of tasks and planning of the teams' allowances.

#include "cell/shard_owner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciastile
{

namespace
{

/// Minimum interval between plans triggered by new demand.
constexpr milliseconds least_plan_interval{20};

/// Interval at which the VM list's and the operators' statements on workers are
/// applied. A worker's own reports are applied immediately.
constexpr milliseconds refresh_interval{100};

/// Rank of the job when a team exceeds its allowance: attempts of lower rank
/// are stopped first.
int stop_rank(const job_spec& spec)
{
    if (!spec.repeatable)
    {
        return 3;
    }
    switch (spec.kind)
    {
    case job_kind::batch:
        return 0;
    case job_kind::gang:
        return 1;
    case job_kind::service:
        return 2;
    case job_kind::request:
        return 3;
    }
    return 3;
}

} // namespace

void shard_owner::decide()
{
    if (!may_act() || releasing_)
    {
        return;
    }
    const decisions made =
        scheduler_->decide(now(), settings_.placements_in_tick);
    for (const placement& decided : made.placements)
    {
        place(decided);
    }
    for (const preemption& decided : made.preemptions)
    {
        const job_progress* job = fold_.find(decided.task.job);
        worker_link* holder = link(decided.worker);
        if (job != nullptr && holder != nullptr && job->spec.repeatable)
        {
            holder->stop(
                {decided.task, job->tasks[decided.task.index].attempts},
                stop_manner::checkpoint);
        }
    }
}

void shard_owner::place(const placement& decided)
{
    queued_.erase(decided.task);
    if (live_request* request = requests_.find(decided.task.job))
    {
        place_request(*request, decided.worker);
        return;
    }
    const job_spec* spec = spec_of(decided.task.job);
    if (spec == nullptr)
    {
        scheduler_->end(decided.task, {});
        return;
    }
    const job_progress* job = fold_.find(decided.task.job);
    const std::uint32_t attempts =
        job == nullptr ? 0 : job->tasks[decided.task.index].attempts;
    assign(*spec, attempts + 1, decided);
}

void shard_owner::place_request(live_request& request, const worker_id& worker)
{
    const task_id task{request.spec.id, 0};
    worker_link* holder = link(worker);
    if (holder == nullptr)
    {
        scheduler_->end(task, {});
        enqueue_request(request);
        return;
    }
    ++request.attempts;
    request.worker = worker;
    request.may_have_run = true;
    holder->start(make_start(request.spec, {task, request.attempts}));
}

void shard_owner::assign(
    const job_spec& spec, std::uint32_t number, const placement& decided)
{
    (void)spec;
    const task_id task = decided.task;
    pending_assignments_.emplace(task, decided.worker);
    write(
        task.job,
        attempt_assigned{{task, number}, decided.worker},
        settings_.write_patience,
        [this, task](result<fold_outcome> outcome)
        {
            if (!outcome || !outcome->accepted())
            {
                on_assign_failed(task);
            }
        });
}

void shard_owner::on_assign_failed(const task_id& task)
{
    if (pending_assignments_.erase(task) == 0)
    {
        return;
    }
    scheduler_->end(task, {});
    const job_progress* job = fold_.find(task.job);
    if (job != nullptr && log_up_ &&
        job->tasks[task.index].state == task_state::queued)
    {
        enqueue_waiting(*job);
    }
}

const job_spec* shard_owner::spec_of(const job_id& job) const
{
    if (const job_progress* known = fold_.find(job))
    {
        return &known->spec;
    }
    auto at = pending_submissions_.find(job);
    return at == pending_submissions_.end() ? nullptr : &at->second.spec;
}

void shard_owner::enqueue(
    const job_spec& spec, std::vector<std::uint32_t> indexes)
{
    if (!log_up_)
    {
        // An attempt starts only after its assignment is stored, so tasks are
        // not queued while the log is unavailable.
        return;
    }
    instant first = now();
    for (std::uint32_t index : indexes)
    {
        const task_id task{spec.id, index};
        queued_.insert(task);
        first =
            std::min(first, queued_at_.try_emplace(task, now()).first->second);
    }
    job_request request = make_request(spec, std::move(indexes));
    request.queued_at = first;
    scheduler_->enqueue(request);
    schedule_plan(spec);
}

void shard_owner::dequeue(const job_id& job)
{
    scheduler_->withdraw(job);
    auto at = queued_.lower_bound({job, 0});
    while (at != queued_.end() && at->job == job)
    {
        at = queued_.erase(at);
    }
}

void shard_owner::enqueue_request(const live_request& request)
{
    job_request wanted = make_request(request.spec, {0});
    wanted.queued_at = request.arrived;
    queued_.insert({request.spec.id, 0});
    scheduler_->enqueue(wanted);
    schedule_plan(request.spec);
}

void shard_owner::schedule_plan(const job_spec& spec)
{
    resources& largest = largest_tasks_[spec.team];
    largest = max(largest, spec.each);
    const resources held = host_.cell().allowance(shard_.id, spec.team);
    const resources wanted = scheduler_->usage_of(spec.team) + spec.each;
    if (!wanted.fits_in(held))
    {
        // The job cannot start until the team's allowance is raised.
        next_plan_ = std::min(next_plan_, now() + least_plan_interval);
    }
}

void shard_owner::enqueue_delayed_tasks()
{
    while (!delayed_tasks_.empty() && delayed_tasks_.begin()->first <= now())
    {
        const task_id task = delayed_tasks_.begin()->second;
        delayed_tasks_.erase(delayed_tasks_.begin());
        const job_progress* job = fold_.find(task.job);
        if (job == nullptr)
        {
            continue;
        }
        const task_progress& progress = job->tasks[task.index];
        if (progress.state == task_state::queued)
        {
            enqueue_waiting(*job);
        }
        else if (
            progress.state == task_state::starting &&
            link(progress.worker) == nullptr)
        {
            handle_lost_attempt(
                {task, progress.attempts}, "its worker is gone");
        }
    }
}

void shard_owner::plan_allowances()
{
    if (now() < next_plan_)
    {
        return;
    }
    next_plan_ = now() + settings_.allowance_interval;
    allowance_plan plan = planner_.plan(now(), host_.cell(), loads());
    for (const auto& [team, bound] : plan.bounds)
    {
        scheduler_->set_allowance(team, bound);
        limited_teams_.erase(team);
    }
    for (const team_name& team : std::exchange(limited_teams_, {}))
    {
        scheduler_->set_allowance(team, {});
    }
    for (const auto& [team, bound] : plan.bounds)
    {
        limited_teams_.insert(team);
    }
    std::weak_ptr<bool> alive = alive_;
    for (const cell_change& change : plan.records)
    {
        host_.write_cell(
            change,
            [this, alive, change](result<fold_outcome> outcome)
            {
                if (!alive.expired())
                {
                    planner_.settled(
                        change,
                        outcome ? verdict::ran : outcome.error().effect);
                    next_plan_ = instant{};
                }
            });
    }
    largest_tasks_.clear();
    stop_excess(plan.excess);
}

void shard_owner::stop_excess(const std::map<team_name, resources>& excess)
{
    if (excess.empty() || !may_act())
    {
        return;
    }
    struct candidate
    {
        int rank;
        attempt_id attempt;
        worker_link* holder;
        const job_spec* spec;
    };
    std::map<team_name, std::vector<candidate>> running;
    for (auto& [id, worker] : links_)
    {
        for (const auto& [attempt, phase] : worker->held())
        {
            const job_spec* spec = spec_of(attempt.task.job);
            if (spec != nullptr && excess.contains(spec->team))
            {
                running[spec->team].push_back(
                    {stop_rank(*spec), attempt, worker.get(), spec});
            }
        }
    }
    for (auto& [team, candidates] : running)
    {
        std::sort(
            candidates.begin(),
            candidates.end(),
            [](const candidate& left, const candidate& right)
            {
                return std::tie(left.rank, right.attempt) <
                       std::tie(right.rank, left.attempt);
            });
        resources left = excess.at(team);
        for (const candidate& one : candidates)
        {
            if (left.fits_in({}))
            {
                break;
            }
            const stop_manner manner = one.spec->kind == job_kind::batch
                                           ? stop_manner::checkpoint
                                           : stop_manner::stop;
            one.holder->stop(one.attempt, manner);
            left -= one.spec->each;
        }
    }
}

std::map<team_name, team_load> shard_owner::loads() const
{
    std::map<team_name, team_load> all;
    for (const team_rule& team : host_.cell().rules_in_force().teams())
    {
        team_load load{
            scheduler_->usage_of(team.name), scheduler_->demand_of(team.name)};
        if (auto seen = largest_tasks_.find(team.name);
            seen != largest_tasks_.end())
        {
            load.largest = seen->second;
        }
        const bool holds =
            !host_.cell().allowance(shard_.id, team.name).is_zero();
        if (holds || !load.running.is_zero() || !load.demand.is_zero())
        {
            all.emplace(team.name, load);
        }
    }
    return all;
}

void shard_owner::refresh_worker_states()
{
    if (now() < next_refresh_)
    {
        return;
    }
    next_refresh_ = now() + refresh_interval;
    for (const auto& [id, worker] : links_)
    {
        set_worker_state_of(*worker);
    }
}

void shard_owner::set_worker_state_of(const worker_link& worker)
{
    const worker_id& id = worker.entry().id;
    const bool confirmed =
        worker.sealed() && worker.sealed_at() < host_.last_log_contact();
    const bool open =
        confirmed && worker.reachable() && !worker.leaving() &&
        !worker.has_unknown_attempts() && !host_.cell().is_drained(id) &&
        host_.cell().declared_dead_at(id) == 0 && !host_.is_vm_leaving(id);
    scheduler_->set_worker_state(
        id, open ? worker_state::open : worker_state::closed);
}

job_request shard_owner::make_request(
    const job_spec& spec, std::vector<std::uint32_t> waiting) const
{
    job_request request;
    request.job = spec.id;
    request.team = spec.team;
    request.queue = spec.queue;
    request.kind = spec.kind;
    request.name = spec.name;
    request.each = spec.each;
    request.run_time = spec.run_time;
    request.queued_at = now();
    request.repeatable = spec.repeatable;
    request.waiting = std::move(waiting);
    return request;
}

start_command
shard_owner::make_start(const job_spec& spec, const attempt_id& attempt) const
{
    return {attempt, spec.each, spec.run_time, spec.name, spec.payload};
}

} // namespace acaciastile
