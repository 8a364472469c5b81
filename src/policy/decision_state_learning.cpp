#include "policy/decision_state.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Distinct workers on which a job must fail before the job itself is blamed.
constexpr std::size_t distinct_workers_for_job_fault = 3;

/// Expected run time of a task without an estimate.
constexpr milliseconds default_run_time{600'000};

/// Bounds of an estimated size, in percent of the declared one.
constexpr std::int64_t min_learnt_percent = 10;
constexpr std::int64_t max_learnt_percent = 1000;
/// A measured peak with its safety margin, in percent of the peak.
constexpr std::int64_t peak_with_margin_percent = 110;

resources scaled(const resources& size, std::int64_t percent)
{
    return {
        size.milli_processors * percent / 100,
        size.memory_mib * percent / 100,
        size.accelerators};
}

std::int64_t with_margin(std::int64_t peak, std::int64_t declared)
{
    std::int64_t wanted = peak * peak_with_margin_percent / 100;
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

instant decision_state::queue_time_of(const job_entry& job) const
{
    const job_request& request = job.request;
    if (request.kind == job_kind::service)
    {
        return request.queued_at;
    }
    run_estimates::duration_estimate learnt = estimates.duration_of(job.group);
    milliseconds expected = learnt.known ? learnt.median : request.run_time;
    milliseconds penalty = std::min(
        expected * settings.run_time_penalty_factor,
        settings.max_run_time_penalty);
    return request.queued_at + penalty;
}

resources decision_state::charge_of(const job_entry& job) const
{
    const resources& declared = job.request.each;
    run_estimates::usage_estimate learnt =
        estimates.usage_estimate_of(job.group);
    if (!settings.learn_sizes || !learnt.known)
    {
        return declared;
    }
    bool may_lower = settings.oversubscribe && job.queue.oversubscribe;
    resources lower =
        may_lower ? scaled(declared, min_learnt_percent) : declared;
    resources upper = scaled(declared, max_learnt_percent);
    resources wanted = with_margin(learnt.peak, declared);
    resources size = min(max(wanted, lower), upper);
    size.accelerators = declared.accelerators;
    return workers.count_capable(size) > 0 ? size : declared;
}

void decision_state::record_end(
    job_slot slot, std::uint32_t index, const task_end& ended)
{
    update_worker_health(slot, index, ended);
    const job_entry& job = jobs.at(slot);
    if (ended.succeeded && !ended.stopped)
    {
        estimates.record_duration(job.group, ended.ran);
        estimates.record_usage(job.group, ended.peak_usage);
    }
}

void decision_state::set_usage(
    job_slot slot, std::uint32_t index, const resources& usage)
{
    job_entry& job = jobs.at(slot);
    running_task& task = job.running.at(index);
    estimates.record_usage(job.group, usage);
    // Raises the charge of a task that uses more than it is charged for.
    resources wanted = max(task.charged, with_margin(usage, job.request.each));
    wanted.accelerators = task.charged.accelerators;
    if (settings.learn_sizes && wanted != task.charged)
    {
        workers.allocate(task.worker, wanted - task.charged);
        teams.at(job.team).charged += wanted - task.charged;
        task.charged = wanted;
        reorder_team(job.team);
    }
}

blame decision_state::blame_of(const job_entry& job, bool worker_reported) const
{
    if (worker_reported)
    {
        return blame::certain;
    }
    if (job.succeeded)
    {
        return blame::likely;
    }
    // A job that failed on several workers and never succeeded is at fault.
    return job.failed_on.size() >= distinct_workers_for_job_fault
               ? blame::none
               : blame::possible;
}

void decision_state::update_worker_health(
    job_slot slot, std::uint32_t index, const task_end& ended)
{
    job_entry& job = jobs.at(slot);
    const running_task& task = job.running.at(index);
    worker_slot worker = task.worker;
    if (!settings.quarantine)
    {
        return;
    }
    if (ended.stopped)
    {
        if (task.probe)
        {
            health.probe_inconclusive(worker, now);
        }
        return;
    }
    if (ended.succeeded)
    {
        job.succeeded = true;
        job.failed_on.clear();
        if (health.record_success(worker))
        {
            workers.set_use(worker, worker_use::general);
        }
        return;
    }
    blame evidence = blame_of(job, ended.worker_fault);
    bool already_counted =
        std::find(job.failed_on.begin(), job.failed_on.end(), worker) !=
        job.failed_on.end();
    if (!already_counted && !job.succeeded &&
        job.failed_on.size() < distinct_workers_for_job_fault)
    {
        job.failed_on.push_back(worker);
    }
    if (evidence == blame::none && task.probe)
    {
        health.probe_inconclusive(worker, now);
    }
    else if (health.record_failure(worker, job.order, evidence, now))
    {
        workers.set_use(worker, worker_use::quarantined);
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
    milliseconds ran = now - run.started_at;
    run_estimates::duration_estimate learnt = estimates.duration_of(job.group);
    milliseconds run_time = learnt.known                 ? learnt.median
                            : job.request.run_time > ran ? job.request.run_time
                                                         : default_run_time;
    if (ran >= run_time)
    {
        run_time = learnt.known && ran < learnt.longest ? learnt.longest
                                                        : ran + ran / 2;
    }
    return run.started_at + run_time;
}

} // namespace acaciastile::impl
