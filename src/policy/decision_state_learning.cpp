#include "policy/decision_state.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Distinct workers on which a job fails before it is held to fail anywhere.
constexpr std::size_t fails_everywhere = 3;

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
    blame what = blame_of(job, how.worker_fault);
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

} // namespace acaciastile::impl
