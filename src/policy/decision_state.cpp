#include "policy/decision_state.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Distinct workers on which a job fails before it is held to fail anywhere.
constexpr std::size_t fails_everywhere = 3;

/// Cancelled jobs that are taken out of the tables between two decisions.
constexpr std::size_t withdrawn_of_call = 1'000;

/// Expected of a run of which nothing is known.
constexpr milliseconds unknown_run{600'000};

/// Bounds of a learnt size, in hundredths of the declared one.
constexpr std::int64_t least_percent = 10;
constexpr std::int64_t most_percent = 1000;
/// What is added to a measured peak, the peak included.
constexpr std::int64_t margin_percent = 110;

resources scaled(const resources& size, std::int64_t percent)
{
    return {
        size.milli_processors * percent / 100,
        size.memory_mib * percent / 100,
        size.accelerators};
}

std::int64_t with_margin(std::int64_t peak, std::int64_t declared)
{
    std::int64_t wanted = peak * margin_percent / 100;
    return peak <= declared ? std::min(wanted, declared) : wanted;
}

/// A measured peak with the margin, which does not lead beyond what was
/// declared as long as the peak does not.
resources with_margin(const resources& peak, const resources& declared)
{
    return {
        with_margin(peak.milli_processors, declared.milli_processors),
        with_margin(peak.memory_mib, declared.memory_mib),
        peak.accelerators};
}

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
    reorder_all();
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
        unfile(slot);
        job.queue = policy_of(in_force, job.request.queue);
        file(slot);
    }
}

void decision_state::set_worker(const worker_entry& entry)
{
    gained_room(workers.set(entry));
    reorder_all();
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
        health.restarted(slot, now);
    }
    gained_room(slot);
}

void decision_state::remove_worker(const worker_id& id)
{
    workers.remove(id);
    reorder_all();
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
    job.queue = policy_of(in_force, request.queue);
    job.group = estimates.hold(job.team, request.name);
    job.rank = rank_of(job);
    if (job.tier() == queue_tier::urgent)
    {
        largest_urgent = max(largest_urgent, request.each);
    }
    return slot;
}

instant decision_state::rank_of(const job_entry& job) const
{
    const job_request& request = job.request;
    if (request.kind == job_kind::service)
    {
        return request.queued_at;
    }
    run_estimates::run_estimate learnt = estimates.run_of(job.group);
    milliseconds expected = learnt.known ? learnt.typical : request.run_time;
    milliseconds behind = std::min(
        expected * settings.head_start_factor, settings.longest_head_start);
    return request.queued_at + behind;
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
    file(slot);
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
        file(slot);
    }
}

void decision_state::withdraw(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    auto count = static_cast<std::int64_t>(job.waiting.size());
    teams.at(job.team).demand -= job.request.each * count;
    job.waiting.clear();
    file(slot);
    drop_if_idle(slot);
}

void decision_state::withdraw_known(const job_id& job)
{
    job_slot slot = jobs.find(job);
    if (slot != no_slot)
    {
        withdraw(slot);
    }
}

void decision_state::withdraw_later(const job_id& job)
{
    if (withdrawn_at_once_ < withdrawn_of_call)
    {
        ++withdrawn_at_once_;
        withdraw_known(job);
        return;
    }
    withdrawn.add(job);
}

void decision_state::withdraw_now(const job_id& job)
{
    withdrawn.erase(job);
    withdraw_known(job);
}

void decision_state::work_off_withdrawn()
{
    withdrawn_at_once_ = 0;
    for (std::size_t done = 0; done < withdrawn_of_call; ++done)
    {
        std::optional<job_id> job = withdrawn.next();
        if (!job)
        {
            return;
        }
        withdraw_known(*job);
    }
}

resources decision_state::need_of(const job_entry& job) const
{
    resources granted = min(charge_of(job), job.request.each);
    auto count = static_cast<std::int64_t>(job.waiting.size());
    return job.is_gang() ? granted * count : granted;
}

resources decision_state::charge_of(const job_entry& job) const
{
    const resources& declared = job.request.each;
    run_estimates::size_estimate learnt = estimates.size_of(job.group);
    if (!settings.learn_sizes || !learnt.known)
    {
        return declared;
    }
    bool may_lower = settings.oversubscribe && job.queue.oversubscribe;
    resources least = may_lower ? scaled(declared, least_percent) : declared;
    resources most = scaled(declared, most_percent);
    resources wanted = with_margin(learnt.peak, declared);
    resources size = min(max(wanted, least), most);
    size.accelerators = declared.accelerators;
    return workers.count_that_could(size) > 0 ? size : declared;
}

void decision_state::file(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    std::uint16_t size = class_of(charge_of(job)).index();
    if (job.filed && !job.waiting.empty() && job.filed_class == size)
    {
        return;
    }
    unfile(slot);
    if (job.waiting.empty())
    {
        return;
    }
    auto tier = static_cast<std::size_t>(job.tier());
    if (waiting[tier].size() <= job.team)
    {
        waiting[tier].resize(job.team + 1);
    }
    job.filed_class = size;
    job.filed = true;
    waiting[tier][job.team].insert(jobs.key_of(slot), size, job.is_gang());
    reorder(job.team);
}

void decision_state::unfile(job_slot slot)
{
    job_entry& job = jobs.at(slot);
    if (!job.filed)
    {
        return;
    }
    job.filed = false;
    auto tier = static_cast<std::size_t>(job.tier());
    waiting_jobs& queue = waiting[tier][job.team];
    queue.erase(jobs.key_of(slot), job.filed_class, job.is_gang());
    if (queue.empty())
    {
        orders[tier].erase(job.team);
    }
}

void decision_state::reorder(team_slot team)
{
    double share = teams.dominant_share(team, workers.total());
    for (std::size_t tier = 0; tier < queue_tiers; ++tier)
    {
        if (waiting[tier].size() > team && !waiting[tier][team].empty())
        {
            orders[tier].set(team, share);
        }
    }
}

void decision_state::reorder_all()
{
    for (team_slot team = 0; team < teams.size(); ++team)
    {
        reorder(team);
    }
}

void decision_state::start(
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
    workers.hold(worker, charged);
    workers.add_task(worker, {slot, index});
    teams.at(job.team).used += granted;
    teams.at(job.team).charged += charged;
    remove_waiting(slot, index);
    reorder(job.team);
}

void decision_state::finish(job_slot slot, std::uint32_t index)
{
    job_entry& job = jobs.at(slot);
    auto at = job.running.find(index);
    worker_slot worker = at->second.worker;
    workers.release(worker, at->second.charged);
    workers.remove_task(worker, {slot, index});
    gained_room(worker);
    teams.at(job.team).used -= at->second.granted;
    teams.at(job.team).charged -= at->second.charged;
    job.running.erase(at);
    reorder(job.team);
    drop_if_idle(slot);
}

blame decision_state::blame_of(const job_entry& job, bool told) const
{
    if (told)
    {
        return blame::certain;
    }
    if (job.succeeded)
    {
        return blame::likely;
    }
    // A job that failed on several workers and never ended well is at fault.
    return job.failed_on.size() >= fails_everywhere ? blame::none
                                                    : blame::possible;
}

void decision_state::learn(
    job_slot slot, std::uint32_t index, const task_end& how)
{
    judge_worker(slot, index, how);
    const job_entry& job = jobs.at(slot);
    if (how.succeeded && !how.stopped)
    {
        estimates.learn_run(job.group, how.ran);
        estimates.learn_size(job.group, how.peak_usage);
    }
}

void decision_state::set_usage(
    job_slot slot, std::uint32_t index, const resources& usage)
{
    job_entry& job = jobs.at(slot);
    running_task& task = job.running.at(index);
    estimates.learn_size(job.group, usage);
    // A task that uses more than it counts for counts for more from now on.
    resources wanted = max(task.charged, with_margin(usage, job.request.each));
    wanted.accelerators = task.charged.accelerators;
    if (settings.learn_sizes && wanted != task.charged)
    {
        workers.hold(task.worker, wanted - task.charged);
        teams.at(job.team).charged += wanted - task.charged;
        task.charged = wanted;
        reorder(job.team);
    }
}

void decision_state::judge_worker(
    job_slot slot, std::uint32_t index, const task_end& how)
{
    job_entry& job = jobs.at(slot);
    const running_task& task = job.running.at(index);
    worker_slot worker = task.worker;
    if (!settings.quarantine)
    {
        return;
    }
    if (how.stopped)
    {
        if (task.probe)
        {
            health.probe_void(worker, now);
        }
        return;
    }
    if (how.succeeded)
    {
        job.succeeded = true;
        job.failed_on.clear();
        if (health.succeeded(worker))
        {
            workers.set_use(worker, worker_use::common);
        }
        return;
    }
    blame what = blame_of(job, how.workers_fault);
    bool known =
        std::find(job.failed_on.begin(), job.failed_on.end(), worker) !=
        job.failed_on.end();
    if (!known && !job.succeeded && job.failed_on.size() < fails_everywhere)
    {
        job.failed_on.push_back(worker);
    }
    if (what == blame::none && task.probe)
    {
        health.probe_void(worker, now);
    }
    else if (health.failed(worker, job.order, what, now))
    {
        workers.set_use(worker, worker_use::barred);
    }
}

instant decision_state::expected_end(const task_ref& task) const
{
    const job_entry& job = jobs.at(task.job);
    if (job.queue.policy == work_class::service)
    {
        return instant::max();
    }
    const running_task& run = job.running.at(task.index);
    milliseconds ran = now - run.since;
    run_estimates::run_estimate learnt = estimates.run_of(job.group);
    milliseconds whole = learnt.known                 ? learnt.typical
                         : job.request.run_time > ran ? job.request.run_time
                                                      : unknown_run;
    if (ran >= whole)
    {
        whole = learnt.known && ran < learnt.longest ? learnt.longest
                                                     : ran + ran / 2;
    }
    return run.since + whole;
}

void decision_state::gained_room(worker_slot slot)
{
    const pool_worker& worker = workers.at(slot);
    if (worker.is_open() && worker.use == worker_use::common)
    {
        without_room.gained(worker.room());
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
