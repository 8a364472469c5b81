#include "policy/fair_scheduler.hpp"

#include "policy/explainer.hpp"

namespace acaciastile
{

using impl::job_slot;
using impl::no_slot;
using impl::team_slot;
using impl::worker_slot;

std::unique_ptr<scheduler>
fair_scheduler::create(fair_scheduler_settings settings)
{
    return std::unique_ptr<scheduler>(new fair_scheduler(settings));
}

fair_scheduler::fair_scheduler(fair_scheduler_settings settings)
    : state_(settings),
      reservations_(state_),
      preemptor_(state_, reservations_),
      placer_(state_, reservations_)
{
}

void fair_scheduler::set_rules(const rules& in_force)
{
    state_.set_rules(in_force);
}

void fair_scheduler::set_worker(const worker_entry& worker)
{
    state_.set_worker(worker);
}

void fair_scheduler::set_worker_state(const worker_id& id, worker_state state)
{
    state_.set_worker_state(id, state);
}

void fair_scheduler::remove_worker(const worker_id& id)
{
    state_.remove_worker(id);
}

void fair_scheduler::set_allowance(
    const team_name& team, const resources& amount)
{
    state_.teams.set_allowance(team, amount);
}

void fair_scheduler::enqueue(const job_request& request)
{
    if (state_.withdrawn.contains(request.job))
    {
        state_.withdraw_at_once(request.job);
    }
    if (!request.waiting.empty())
    {
        state_.add_waiting(state_.open_job(request), request.waiting);
    }
}

void fair_scheduler::withdraw(const job_id& job)
{
    state_.withdraw_or_defer(job);
}

void fair_scheduler::add_running(
    const job_request& job, std::uint32_t index, const worker_id& worker)
{
    worker_slot worker_index = state_.workers.find(worker);
    if (worker_index == no_slot)
    {
        return;
    }
    if (state_.withdrawn.contains(job.job))
    {
        state_.withdraw_at_once(job.job);
    }
    job_slot slot = state_.open_job(job);
    state_.start_task(slot, index, worker_index, job.each);
}

void fair_scheduler::end(const task_id& task, const task_end& ended)
{
    job_slot slot = state_.jobs.find(task.job);
    if (slot != no_slot && state_.jobs.at(slot).running.contains(task.index))
    {
        state_.record_end(slot, task.index, ended);
        state_.end_task(slot, task.index);
    }
}

void fair_scheduler::set_usage(const task_id& task, const resources& usage)
{
    job_slot slot = state_.jobs.find(task.job);
    if (slot != no_slot && state_.jobs.at(slot).running.contains(task.index))
    {
        state_.set_usage(slot, task.index, usage);
    }
}

decisions fair_scheduler::decide(instant now, std::size_t limit)
{
    state_.now = now;
    decisions decided;
    state_.withdraw_deferred();
    reservations_.refresh();
    preemptor_.refresh();
    placer_.begin();
    placer_.place_tier(impl::queue_tier::urgent, limit, decided);
    if (decided.placements.size() < limit)
    {
        preemptor_.preempt_for_urgent(decided);
    }
    placer_.place_tier(impl::queue_tier::status, limit, decided);
    placer_.place_reservations(limit, decided);
    placer_.place_tier(impl::queue_tier::shared, limit, decided);
    if (decided.placements.size() < limit)
    {
        reservations_.plan();
        preemptor_.preempt_for_reservations(decided);
    }
    return decided;
}

result<void> fair_scheduler::check_feasible(const job_request& request) const
{
    return impl::explainer(state_, reservations_).check_feasible(request);
}

result<explanation> fair_scheduler::explain(const job_id& job) const
{
    return impl::explainer(state_, reservations_).explain(job);
}

resources fair_scheduler::usage_of(const team_name& team) const
{
    team_slot slot = state_.teams.find(team);
    return slot == no_slot ? resources{} : state_.teams.at(slot).used;
}

resources fair_scheduler::demand_of(const team_name& team) const
{
    team_slot slot = state_.teams.find(team);
    return slot == no_slot ? resources{} : state_.teams.at(slot).demand;
}

} // namespace acaciastile
