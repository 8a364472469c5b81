#include "support/policy_baseline.hpp"

#include <algorithm>

namespace acaciastile::bench
{

using impl::job_entry;
using impl::job_slot;
using impl::no_slot;
using impl::worker_slot;

std::unique_ptr<scheduler>
baseline_scheduler::create(baseline_strategy strategy)
{
    return std::unique_ptr<scheduler>(new baseline_scheduler(strategy));
}

baseline_scheduler::baseline_scheduler(baseline_strategy strategy)
    : strategy_(strategy)
{
}

void baseline_scheduler::set_rules(const rules& in_force)
{
    teams_.set_shares(in_force);
}

void baseline_scheduler::set_worker(const worker_entry& worker)
{
    if (workers_.find(worker.id) == no_slot)
    {
        listed_.push_back(workers_.set(worker));
    }
}

void baseline_scheduler::set_worker_state(
    const worker_id& id, worker_state state)
{
    workers_.set_state(workers_.find(id), state);
}

void baseline_scheduler::remove_worker(const worker_id& id)
{
    workers_.remove(id);
}

void baseline_scheduler::set_allowance(
    const team_name& team, const resources& amount)
{
    teams_.set_allowance(team, amount);
}

baseline_scheduler::queue_key baseline_scheduler::key_of(job_slot slot) const
{
    const job_entry& job = jobs_.at(slot);
    return {job.request.queued_at, job.order, slot};
}

void baseline_scheduler::enqueue(const job_request& request)
{
    job_slot slot = jobs_.open(request);
    job_entry& job = jobs_.at(slot);
    job.team = teams_.open(request.team);
    std::int64_t added = 0;
    for (std::uint32_t index : request.waiting)
    {
        added += job.waiting.insert(index).second ? 1 : 0;
    }
    teams_.at(job.team).demand += request.each * added;
    queue_.insert(key_of(slot));
}

void baseline_scheduler::withdraw(const job_id& job)
{
    job_slot slot = jobs_.find(job);
    if (slot == no_slot)
    {
        return;
    }
    job_entry& entry = jobs_.at(slot);
    auto count = static_cast<std::int64_t>(entry.waiting.size());
    teams_.at(entry.team).demand -= entry.request.each * count;
    entry.waiting.clear();
    queue_.erase(key_of(slot));
    if (entry.is_idle())
    {
        jobs_.close(slot);
    }
}

void baseline_scheduler::add_running(
    const job_request& job, std::uint32_t index, const worker_id& worker)
{
    enqueue(job);
    run(jobs_.find(job.job), index, workers_.find(worker));
}

void baseline_scheduler::run(
    job_slot slot, std::uint32_t index, worker_slot where)
{
    job_entry& job = jobs_.at(slot);
    job.waiting.erase(index);
    job.running.emplace(
        index,
        impl::running_task{
            where, job.request.each, job.request.each, {}, false, false});
    teams_.at(job.team).demand -= job.request.each;
    teams_.at(job.team).used += job.request.each;
    workers_.allocate(where, job.request.each);
}

void baseline_scheduler::end(const task_id& task, const task_end&)
{
    job_slot slot = jobs_.find(task.job);
    if (slot == no_slot)
    {
        return;
    }
    job_entry& job = jobs_.at(slot);
    auto at = job.running.find(task.index);
    if (at == job.running.end())
    {
        return;
    }
    workers_.release(at->second.worker, job.request.each);
    teams_.at(job.team).used -= job.request.each;
    job.running.erase(at);
    if (job.is_idle())
    {
        jobs_.close(slot);
    }
}

void baseline_scheduler::set_usage(const task_id&, const resources&) {}

worker_slot baseline_scheduler::pick(const resources& size) const
{
    worker_slot best = no_slot;
    for (worker_slot slot : listed_)
    {
        const impl::pool_worker& worker = workers_.at(slot);
        if (worker.state != worker_state::open || !size.fits_in(worker.free()))
        {
            continue;
        }
        if (strategy_ == baseline_strategy::first_fit)
        {
            return slot;
        }
        if (best == no_slot || worker.free().milli_processors >
                                   workers_.at(best).free().milli_processors)
        {
            best = slot;
        }
    }
    return best;
}

bool baseline_scheduler::place_job(
    job_slot slot, std::size_t limit, decisions& decided)
{
    const job_entry& job = jobs_.at(slot);
    const resources each = job.request.each;
    auto fails_too = [&each](const resources& size)
    { return size.fits_in(each); };
    bool gang = job.is_gang();
    std::vector<std::pair<std::uint32_t, worker_slot>> chosen;
    resources remaining = teams_.remaining_allowance(job.team);
    for (std::uint32_t index : job.waiting)
    {
        if (!gang && decided.placements.size() + chosen.size() >= limit)
        {
            break;
        }
        bool known_to_fail =
            std::any_of(failed_sizes_.begin(), failed_sizes_.end(), fails_too);
        worker_slot where = no_slot;
        if (each.fits_in(remaining) && !known_to_fail)
        {
            where = pick(each);
            if (where == no_slot && !gang)
            {
                failed_sizes_.push_back(each);
            }
        }
        if (where == no_slot)
        {
            break;
        }
        remaining -= each;
        workers_.allocate(where, each);
        chosen.emplace_back(index, where);
    }
    for (const auto& [index, where] : chosen)
    {
        workers_.release(where, each);
    }
    if (gang && chosen.size() < job.waiting.size())
    {
        return false;
    }
    for (const auto& [index, where] : chosen)
    {
        run(slot, index, where);
        decided.placements.push_back(
            {{job.request.job, index}, workers_.at(where).entry.id, each});
    }
    return job.waiting.empty();
}

decisions baseline_scheduler::decide(instant, std::size_t limit)
{
    decisions decided;
    failed_sizes_.clear();
    auto at = queue_.begin();
    while (at != queue_.end() && decided.placements.size() < limit)
    {
        bool emptied = place_job(std::get<job_slot>(*at), limit, decided);
        at = emptied ? queue_.erase(at) : std::next(at);
    }
    return decided;
}

result<void> baseline_scheduler::check_feasible(const job_request&) const
{
    return {};
}

result<explanation> baseline_scheduler::explain(const job_id&) const
{
    return explanation{};
}

resources baseline_scheduler::usage_of(const team_name& team) const
{
    impl::team_slot slot = teams_.find(team);
    return slot == no_slot ? resources{} : teams_.at(slot).used;
}

resources baseline_scheduler::demand_of(const team_name& team) const
{
    impl::team_slot slot = teams_.find(team);
    return slot == no_slot ? resources{} : teams_.at(slot).demand;
}

} // namespace acaciastile::bench
