#include "policy/fair_scheduler.hpp"

#include <string>

namespace acaciastile
{

using impl::job_entry;
using impl::job_slot;
using impl::no_slot;
using impl::queue_tier;
using impl::team_slot;
using impl::worker_slot;

namespace
{

resources need_of(const job_entry& job)
{
    auto count = static_cast<std::int64_t>(job.waiting.size());
    return job.is_gang() ? job.request.each * count : job.request.each;
}

} // namespace

std::unique_ptr<scheduler>
fair_scheduler::create(fair_scheduler_settings settings)
{
    return std::unique_ptr<scheduler>(new fair_scheduler(settings));
}

fair_scheduler::fair_scheduler(fair_scheduler_settings settings)
    : settings_(settings)
{
}

void fair_scheduler::set_rules(const rules& in_force)
{
    rules_ = in_force;
    teams_.set_shares(in_force);
    for (job_slot slot = 0; slot < jobs_.size(); ++slot)
    {
        job_entry& job = jobs_.at(slot);
        if (job.is_idle())
        {
            continue;
        }
        queue_of(job.tier(), job.team).erase(key_of(slot));
        const queue_rule* queue = rules_.find(job.request.queue);
        job.policy = queue == nullptr ? work_class::batch : queue->policy;
        if (!job.waiting.empty())
        {
            queue_of(job.tier(), job.team).insert(key_of(slot));
        }
    }
}

void fair_scheduler::set_worker(const worker_entry& worker)
{
    workers_.set(worker);
}

void fair_scheduler::set_worker_state(const worker_id& id, worker_state state)
{
    workers_.set_state(id, state);
}

void fair_scheduler::remove_worker(const worker_id& id)
{
    workers_.remove(id);
}

void fair_scheduler::set_allowance(
    const team_name& team, const resources& amount)
{
    teams_.set_allowance(team, amount);
}

fair_scheduler::queue_key fair_scheduler::key_of(job_slot slot) const
{
    const job_entry& job = jobs_.at(slot);
    return {job.request.queued_at, job.order, slot};
}

fair_scheduler::team_queue&
fair_scheduler::queue_of(queue_tier tier, team_slot team)
{
    auto& queues = queues_[static_cast<std::size_t>(tier)];
    if (queues.size() <= team)
    {
        queues.resize(team + 1);
    }
    return queues[team];
}

job_slot fair_scheduler::open_job(const job_request& request)
{
    job_slot slot = jobs_.open(request);
    job_entry& job = jobs_.at(slot);
    job.team = teams_.open(job.request.team);
    const queue_rule* queue = rules_.find(job.request.queue);
    job.policy = queue == nullptr ? work_class::batch : queue->policy;
    return slot;
}

void fair_scheduler::enqueue(const job_request& request)
{
    if (request.waiting.empty())
    {
        return;
    }
    job_slot slot = open_job(request);
    job_entry& job = jobs_.at(slot);
    std::int64_t added = 0;
    for (std::uint32_t index : request.waiting)
    {
        if (!job.running.contains(index) && job.waiting.insert(index).second)
        {
            ++added;
        }
    }
    teams_.at(job.team).demand += job.request.each * added;
    if (!job.waiting.empty())
    {
        queue_of(job.tier(), job.team).insert(key_of(slot));
    }
}

void fair_scheduler::withdraw(const job_id& job)
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
    queue_of(entry.tier(), entry.team).erase(key_of(slot));
    drop_if_idle(slot);
}

void fair_scheduler::drop_if_idle(job_slot slot)
{
    if (jobs_.at(slot).is_idle())
    {
        jobs_.close(slot);
    }
}

void fair_scheduler::occupy(
    const job_request& job, std::uint32_t index, const worker_id& worker)
{
    worker_slot where = workers_.find(worker);
    if (where == no_slot)
    {
        return;
    }
    job_slot slot = open_job(job);
    job_entry& entry = jobs_.at(slot);
    if (entry.waiting.erase(index) > 0)
    {
        teams_.at(entry.team).demand -= entry.request.each;
        if (entry.waiting.empty())
        {
            queue_of(entry.tier(), entry.team).erase(key_of(slot));
        }
    }
    if (!entry.running.try_emplace(index, impl::running_task{where, now_})
             .second)
    {
        return;
    }
    teams_.at(entry.team).used += entry.request.each;
    workers_.hold(where, entry.request.each);
}

void fair_scheduler::end(const task_id& task, const task_end&)
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
    drop_if_idle(slot);
}

void fair_scheduler::set_usage(const task_id&, const resources&) {}

void fair_scheduler::place(
    job_slot slot, std::uint32_t index, worker_slot worker, decisions& made)
{
    job_entry& job = jobs_.at(slot);
    workers_.hold(worker, job.request.each);
    teams_.at(job.team).used += job.request.each;
    teams_.at(job.team).demand -= job.request.each;
    job.waiting.erase(index);
    job.running.emplace(index, impl::running_task{worker, now_});
    made.placements.push_back(
        {{job.request.job, index},
         workers_.at(worker).entry.id,
         job.request.each});
}

bool fair_scheduler::place_gang(job_slot slot, decisions& made)
{
    const job_entry& job = jobs_.at(slot);
    std::vector<worker_slot> chosen;
    while (chosen.size() < job.waiting.size())
    {
        worker_slot worker = workers_.best_fit(job.request.each);
        if (worker == no_slot)
        {
            break;
        }
        workers_.hold(worker, job.request.each);
        chosen.push_back(worker);
    }
    for (worker_slot worker : chosen)
    {
        workers_.release(worker, job.request.each);
    }
    if (chosen.size() < job.waiting.size())
    {
        return false;
    }
    std::vector<std::uint32_t> indexes(job.waiting.begin(), job.waiting.end());
    for (std::size_t at = 0; at < indexes.size(); ++at)
    {
        place(slot, indexes[at], chosen[at], made);
    }
    return true;
}

bool fair_scheduler::place_one(job_slot slot, decisions& made)
{
    const job_entry& job = jobs_.at(slot);
    worker_slot worker = workers_.best_fit(job.request.each);
    if (worker == no_slot)
    {
        return false;
    }
    place(slot, *job.waiting.begin(), worker, made);
    return true;
}

bool fair_scheduler::place_next(
    queue_tier tier, team_slot team, std::size_t limit, decisions& made)
{
    team_queue& queue = queue_of(tier, team);
    resources left = teams_.left(team);
    std::size_t tried = 0;
    for (const queue_key& key : queue)
    {
        if (++tried > settings_.jobs_tried)
        {
            return false;
        }
        job_slot slot = std::get<job_slot>(key);
        const job_entry& job = jobs_.at(slot);
        if (!need_of(job).fits_in(left))
        {
            continue;
        }
        // A gang larger than one call's limit is placed in a call of its own.
        if (job.is_gang() && !made.placements.empty() &&
            made.placements.size() + job.waiting.size() > limit)
        {
            continue;
        }
        bool placed =
            job.is_gang() ? place_gang(slot, made) : place_one(slot, made);
        if (placed)
        {
            if (job.waiting.empty())
            {
                queue.erase(queue_key(key));
            }
            return true;
        }
    }
    return false;
}

void fair_scheduler::decide_tier(
    queue_tier tier, std::size_t limit, decisions& made)
{
    auto& queues = queues_[static_cast<std::size_t>(tier)];
    absl::btree_set<share_key> order;
    for (team_slot team = 0; team < queues.size(); ++team)
    {
        if (!queues[team].empty())
        {
            order.emplace(teams_.dominant_share(team, workers_.total()), team);
        }
    }
    while (!order.empty() && made.placements.size() < limit)
    {
        team_slot team = order.begin()->second;
        order.erase(order.begin());
        bool placed = place_next(tier, team, limit, made);
        if (placed && !queues[team].empty())
        {
            order.emplace(teams_.dominant_share(team, workers_.total()), team);
        }
    }
}

decisions fair_scheduler::decide(instant now, std::size_t limit)
{
    now_ = now;
    decisions made;
    for (std::size_t tier = 0; tier < impl::queue_tiers; ++tier)
    {
        decide_tier(static_cast<queue_tier>(tier), limit, made);
    }
    return made;
}

result<void> fair_scheduler::judge(const job_request& request) const
{
    auto count = static_cast<std::int64_t>(request.waiting.size());
    bool gang = request.kind == job_kind::gang;
    std::int64_t needed = gang ? count : 1;
    if (workers_.tasks_when_empty(request.each, needed) < needed)
    {
        std::string what = gang ? "all its tasks at once" : "one task of it";
        return refuse(
            refusal_code::can_never_run,
            "the workers here, when empty, could not hold " + what);
    }
    const team_rule* team = rules_.find(request.team);
    if (team != nullptr && !(request.each * needed).fits_in(team->upper_limit))
    {
        return refuse(
            refusal_code::can_never_run,
            "the upper limit of team '" + request.team.str() +
                "' is below what it needs at once");
    }
    return {};
}

std::size_t fair_scheduler::place_in_queue(job_slot slot) const
{
    const job_entry& job = jobs_.at(slot);
    const auto& queues = queues_[static_cast<std::size_t>(job.tier())];
    if (queues.size() <= job.team)
    {
        return 0;
    }
    const team_queue& queue = queues[job.team];
    auto at = queue.find(key_of(slot));
    if (at == queue.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::distance(queue.begin(), at)) + 1;
}

explanation fair_scheduler::explain_wait(job_slot slot) const
{
    const job_entry& job = jobs_.at(slot);
    const resources& each = job.request.each;
    explanation told;
    told.place_in_queue = place_in_queue(slot);
    told.workers_that_fit = workers_.count_with_room(each);
    told.workers_that_could = workers_.count_that_could(each);
    job_request whole = job.request;
    whole.waiting.assign(job.waiting.begin(), job.waiting.end());
    if (auto possible = judge(whole); !possible)
    {
        told.reason = "can_never_run";
        told.sentence = possible.error().message;
    }
    else if (!need_of(job).fits_in(teams_.left(job.team)))
    {
        told.reason = "limit";
        told.sentence = "team '" + job.request.team.str() +
                        "' has too little of its allowance left here";
    }
    else if (told.workers_that_fit == 0)
    {
        told.reason = "room";
        told.sentence = "no open worker has room for one task of it now";
    }
    else if (job.is_gang())
    {
        told.reason = "gang";
        told.sentence = "there is no room for all its tasks at once";
    }
    else
    {
        told.reason = "order";
        told.sentence = "other work goes first; a place is free";
    }
    return told;
}

result<explanation> fair_scheduler::explain(const job_id& job) const
{
    job_slot slot = jobs_.find(job);
    if (slot == no_slot)
    {
        return refuse(
            refusal_code::unknown_job,
            "job '" + job.str() + "' neither waits nor runs here");
    }
    if (jobs_.at(slot).waiting.empty())
    {
        return explanation{"running", "all its tasks have a place", 0, 0, 0};
    }
    return explain_wait(slot);
}

resources fair_scheduler::usage_of(const team_name& team) const
{
    team_slot slot = teams_.find(team);
    return slot == no_slot ? resources{} : teams_.at(slot).used;
}

resources fair_scheduler::demand_of(const team_name& team) const
{
    team_slot slot = teams_.find(team);
    return slot == no_slot ? resources{} : teams_.at(slot).demand;
}

} // namespace acaciastile
