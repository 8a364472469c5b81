#include "policy/decision_state.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Cancelled jobs that are taken out of the tables between two decisions.
constexpr std::size_t max_withdrawals_per_call = 1'000;

} // namespace

decision_state::decision_state(fair_scheduler_settings chosen)
    : settings(chosen)
{
}

void decision_state::set_rules(const rules& changed)
{
    bool same_queues = in_force.queues() == changed.queues();
    in_force = changed;
    teams.set_shares(in_force);
    reorder_all_teams();
    if (same_queues)
    {
        return;
    }
    for (job_slot slot = 0; slot < jobs.size(); ++slot)
    {
        job_entry& job = jobs.at(slot);
        if (job.is_idle())
        {
            continue;
        }
        dequeue(slot);
        job.queue = queue_policy_of(in_force, job.request.queue);
        requeue(slot);
    }
}

void decision_state::set_worker(const worker_entry& entry)
{
    on_capacity_freed(workers.set(entry));
    reorder_all_teams();
}

void decision_state::set_worker_state(const worker_id& id, worker_state state)
{
    worker_slot slot = workers.find(id);
    if (slot == no_slot)
    {
        return;
    }
    bool opened = state == worker_state::open && !workers.at(slot).is_open();
    workers.set_state(slot, state);
    if (opened)
    {
        health.on_restart(slot, now);
    }
    on_capacity_freed(slot);
}

void decision_state::remove_worker(const worker_id& id)
{
    workers.remove(id);
    reorder_all_teams();
}

job_slot decision_state::open_job(const job_request& request)
{
    job_slot slot = jobs.find(request.job);
    if (slot != no_slot)
    {
        return slot;
    }
    slot = jobs.open(request);
    job_entry& job = jobs.at(slot);
    job.team = teams.open(request.team);
    job.queue = queue_policy_of(in_force, request.queue);
    job.group = estimates.acquire(job.team, request.name);
    job.queue_time = queue_time_of(job);
    if (job.tier() == queue_tier::urgent)
    {
        largest_urgent = max(largest_urgent, request.each);
    }
    return slot;
}

void decision_state::add_waiting(
    job_slot slot, const std::vector<std::uint32_t>& indexes)
{
    job_entry& job = jobs.at(slot);
    std::int64_t added = 0;
    for (std::uint32_t index : indexes)
    {
        if (!job.running.contains(index) && job.waiting.insert(index).second)
        {
            ++added;
        }
    }
    teams.at(job.team).demand += job.request.each * added;
    requeue(slot);
    drop_if_idle(slot);
}

void decision_state::remove_waiting(job_slot slot, std::uint32_t index)
{
    job_entry& job = jobs.at(slot);
    if (job.waiting.erase(index) == 0)
    {
        return;
    }
    teams.at(job.team).demand -= job.request.each;
    if (job.waiting.empty())
    {
        requeue(slot);
    }
}

void decision_state::withdraw(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    auto count = static_cast<std::int64_t>(job.waiting.size());
    teams.at(job.team).demand -= job.request.each * count;
    job.waiting.clear();
    requeue(slot);
    drop_if_idle(slot);
}

void decision_state::withdraw_if_known(const job_id& job)
{
    job_slot slot = jobs.find(job);
    if (slot != no_slot)
    {
        withdraw(slot);
    }
}

void decision_state::withdraw_or_defer(const job_id& job)
{
    if (withdrawals_since_decision_ < max_withdrawals_per_call)
    {
        ++withdrawals_since_decision_;
        withdraw_if_known(job);
        return;
    }
    withdrawn.add(job);
}

void decision_state::withdraw_at_once(const job_id& job)
{
    withdrawn.erase(job);
    withdraw_if_known(job);
}

void decision_state::withdraw_deferred()
{
    withdrawals_since_decision_ = 0;
    for (std::size_t done = 0; done < max_withdrawals_per_call; ++done)
    {
        std::optional<job_id> job = withdrawn.next();
        if (!job)
        {
            return;
        }
        withdraw_if_known(*job);
    }
}

resources decision_state::allowance_needed(const job_entry& job) const
{
    resources granted = min(charge_of(job), job.request.each);
    auto count = static_cast<std::int64_t>(job.waiting.size());
    return job.is_gang() ? granted * count : granted;
}

void decision_state::requeue(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    std::uint16_t size = class_of(charge_of(job)).index();
    if (job.queued && !job.waiting.empty() && job.queued_class == size)
    {
        return;
    }
    dequeue(slot);
    if (job.waiting.empty())
    {
        return;
    }
    auto tier = static_cast<std::size_t>(job.tier());
    if (waiting[tier].size() <= job.team)
    {
        waiting[tier].resize(job.team + 1);
    }
    job.queued_class = size;
    job.queued = true;
    waiting[tier][job.team].insert(jobs.key_of(slot), size, job.is_gang());
    reorder_team(job.team);
}

void decision_state::dequeue(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    if (!job.queued)
    {
        return;
    }
    job.queued = false;
    auto tier = static_cast<std::size_t>(job.tier());
    waiting_jobs& queue = waiting[tier][job.team];
    queue.erase(jobs.key_of(slot), job.queued_class, job.is_gang());
    if (queue.empty())
    {
        team_orders[tier].erase(job.team);
    }
}

void decision_state::reorder_team(team_slot team)
{
    double share = teams.dominant_share(team, workers.total());
    for (std::size_t tier = 0; tier < queue_tiers; ++tier)
    {
        if (waiting[tier].size() > team && !waiting[tier][team].empty())
        {
            team_orders[tier].set(team, share);
        }
    }
}

void decision_state::reorder_all_teams()
{
    for (team_slot team = 0; team < teams.size(); ++team)
    {
        reorder_team(team);
    }
}

void decision_state::start_task(
    job_slot slot,
    std::uint32_t index,
    worker_slot worker,
    const resources& charged)
{
    job_entry& job = jobs.at(slot);
    resources granted = min(charged, job.request.each);
    bool fresh =
        job.running
            .try_emplace(
                index,
                running_task{worker, charged, granted, now, false, false})
            .second;
    if (!fresh)
    {
        return;
    }
    workers.allocate(worker, charged);
    workers.add_task(worker, {slot, index});
    teams.at(job.team).used += granted;
    teams.at(job.team).charged += charged;
    remove_waiting(slot, index);
    reorder_team(job.team);
}

void decision_state::end_task(job_slot slot, std::uint32_t index)
{
    job_entry& job = jobs.at(slot);
    auto at = job.running.find(index);
    worker_slot worker = at->second.worker;
    workers.release(worker, at->second.charged);
    workers.remove_task(worker, {slot, index});
    on_capacity_freed(worker);
    teams.at(job.team).used -= at->second.granted;
    teams.at(job.team).charged -= at->second.charged;
    job.running.erase(at);
    reorder_team(job.team);
    drop_if_idle(slot);
}

void decision_state::on_capacity_freed(worker_slot slot)
{
    const pool_worker& worker = workers.at(slot);
    if (worker.is_open() && worker.use == worker_use::general)
    {
        failed_fits.capacity_freed(worker.available());
    }
}

const waiting_jobs*
decision_state::waiting_of(queue_tier tier, team_slot team) const
{
    const auto& queues = waiting[static_cast<std::size_t>(tier)];
    return queues.size() <= team ? nullptr : &queues[team];
}

void decision_state::drop_if_idle(job_slot slot)
{
    if (jobs.at(slot).is_idle())
    {
        estimates.release(jobs.at(slot).group);
        jobs.close(slot);
    }
}

} // namespace acaciastile::impl
