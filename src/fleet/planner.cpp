#include "fleet/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciastile::fleet
{

namespace
{

/// True if no kind of resource exceeds its cap; zero means no limit.
bool within_cap(const resources& wanted, const resources& cap)
{
    return (cap.milli_processors == 0 ||
            wanted.milli_processors <= cap.milli_processors) &&
           (cap.memory_mib == 0 || wanted.memory_mib <= cap.memory_mib) &&
           (cap.accelerators == 0 || wanted.accelerators <= cap.accelerators);
}

double fraction(std::int64_t amount, std::int64_t whole)
{
    return whole <= 0
               ? 0.0
               : static_cast<double>(amount) / static_cast<double>(whole);
}

/// The larger of the fractions of processors and memory that are left free.
/// Lower means a tighter fit.
double free_fraction(const resources& left, const resources& capacity)
{
    return std::max(
        fraction(left.milli_processors, capacity.milli_processors),
        fraction(left.memory_mib, capacity.memory_mib));
}

/// Added to the score of a worker outside the rack that holds the task's data:
/// the task runs slower there.
constexpr double remote_data_penalty = 2.0;
/// Added to the score of the worker on which the task failed last.
constexpr double repeated_failure_penalty = 4.0;
/// Upper bound on queue priorities; keeps urgency classes apart when both are
/// combined into a request's priority.
constexpr std::uint32_t priority_levels = 1'000;

/// Number of a gang's members that fit into the resources of one worker,
/// limited by the step's maximum per worker.
std::int64_t members_that_fit(
    resources available, const step_spec& spec, const resources& each)
{
    const std::int64_t max_members =
        spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
    std::int64_t members = 0;
    while (members < max_members && each.fits_in(available))
    {
        available -= each;
        ++members;
    }
    return members;
}

} // namespace

resources resources_needed(const step_spec& step)
{
    resources needs = step.each;
    if (step.uses_spare_processors)
    {
        // Such tasks use only the processors that other tasks leave idle.
        needs.milli_processors = 0;
    }
    return needs;
}

/// A step with waiting tasks.
struct planner::candidate
{
    job_entry* job = nullptr;
    step_entry* step = nullptr;
    const step_spec* spec = nullptr;
    const queue_settings* queue = nullptr;
    resources needs;
    /// Active tasks of this step on each worker; only set if the step limits
    /// the number of its tasks per worker.
    std::map<worker_id, std::uint32_t> on_worker;
    bool at_cap = false; ///< The account's resource cap is reached.
    urgency_class urgency = urgency_class::in_time;

    /// Planning order: by urgency class, then by the queue's priority.
    [[nodiscard]] std::pair<urgency_class, std::uint32_t> rank() const
    {
        return {urgency, queue->priority};
    }
    [[nodiscard]] bool requires_permits() const
    {
        return queue->advice.has_value();
    }
};

/// State of one call of `decide`.
struct planner::planning_pass
{
    job_tracker& jobs;
    worker_table& workers;
    const configuration& config;
    instant now;
    permit_request_budget budget;
    plan decided;
    std::map<service_name, std::vector<worker_entry*>> usable;
    /// A worker reserved for a gang; steps of a better rank may still use it.
    struct reservation
    {
        step_id step;
        std::pair<urgency_class, std::uint32_t> rank;
    };
    std::map<worker_id, reservation> reserved;

    void reserve(const worker_id& worker, const candidate& step)
    {
        reserved.emplace(worker, reservation{step.step->id, step.rank()});
    }
};

plan planner::decide(
    job_tracker& jobs,
    worker_table& workers,
    const configuration& config,
    instant now,
    bool inherited_may_start,
    permit_request_budget budget)
{
    planning_pass pass{jobs, workers, config, now, budget, {}, {}, {}};
    for (const auto& [id, worker] : workers.all())
    {
        if (workers.is_usable(*worker, now))
        {
            pass.usable[worker->registration.service].push_back(worker.get());
        }
    }
    std::vector<candidate> waiting;
    for (job_entry* job : jobs.open())
    {
        if (job->has_unreconciled_runs ||
            (job->inherited && !inherited_may_start))
        {
            continue;
        }
        const queue_settings* queue =
            &effective_queue_settings(config, job->job);
        for (auto& steps : job->occurrences)
        {
            for (step_entry& step : steps)
            {
                if (step.waiting > 0 && jobs.is_ready(*job, step))
                {
                    const step_spec& spec = job->spec(step.id);
                    candidate found;
                    found.job = job;
                    found.step = &step;
                    found.spec = &spec;
                    found.queue = queue;
                    found.needs = resources_needed(spec);
                    found.urgency = urgency_of(
                        *job, step.id.occurrence, *queue, run_times_, now);
                    waiting.push_back(std::move(found));
                }
            }
        }
    }
    std::sort(
        waiting.begin(),
        waiting.end(),
        [](const candidate& left, const candidate& right)
        {
            if (left.rank() != right.rank())
            {
                return left.rank() < right.rank();
            }
            if (left.job->known_since != right.job->known_since)
            {
                return left.job->known_since < right.job->known_since;
            }
            return left.step->id < right.step->id;
        });
    std::erase_if(
        reserved_workers_,
        [&](const auto& each)
        {
            const step_entry* step = jobs.find(each.first);
            const job_entry* job = jobs.find(each.first.job);
            return step == nullptr || job->is_final() || step->waiting == 0;
        });
    for (const candidate& step : waiting)
    {
        const auto reserved = reserved_workers_.find(step.step->id);
        if (reserved != reserved_workers_.end())
        {
            for (const worker_id& worker : reserved->second)
            {
                pass.reserve(worker, step);
            }
        }
    }
    for (candidate& step : waiting)
    {
        place_step(pass, step);
    }
    return std::move(pass.decided);
}

void planner::place_step(planning_pass& pass, candidate& step)
{
    if (step.spec->max_per_worker > 0)
    {
        for (const task_entry& task : step.step->tasks)
        {
            if (task.state == task_entry::phase::active)
            {
                ++step.on_worker[task.worker];
            }
        }
    }
    if (step.spec->gang)
    {
        if (step.step->waiting == step.step->tasks.size())
        {
            place_gang(pass, step);
        }
        return;
    }
    place_tasks(pass, step);
    if (step.step->waiting > 0 && step.requires_permits() && !step.at_cap)
    {
        request_task_permits(pass, step);
    }
}

bool planner::below_worker_limit(
    const candidate& step, const worker_entry& worker)
{
    if (step.spec->max_per_worker == 0)
    {
        return true;
    }
    const auto at = step.on_worker.find(worker.registration.id);
    return at == step.on_worker.end() || at->second < step.spec->max_per_worker;
}

bool planner::may_run(
    const planning_pass& pass,
    const candidate& step,
    const worker_entry& worker,
    bool need_permit) const
{
    if (!step.spec->required_label.empty() &&
        !worker.has_label(step.spec->required_label))
    {
        return false;
    }
    const auto reserved = pass.reserved.find(worker.registration.id);
    if (reserved != pass.reserved.end() &&
        reserved->second.step != step.step->id &&
        reserved->second.rank <= step.rank())
    {
        return false;
    }
    if (!below_worker_limit(step, worker))
    {
        return false;
    }
    if (!step.requires_permits() || !need_permit)
    {
        return true;
    }
    const auto& allowed = step.step->permits.allowed;
    const auto at = allowed.find(worker.registration.id);
    return at != allowed.end() &&
           at->second.until > pass.now + settings_.permit_expiry_margin &&
           at->second.incarnation == worker.registration.incarnation;
}

std::vector<worker_entry*>
planner::permitted_workers(planning_pass& pass, const candidate& step) const
{
    std::vector<worker_entry*> found;
    if (step.requires_permits() && step.step->permits.allowed.empty())
    {
        return found;
    }
    const auto usable = pass.usable.find(step.queue->service);
    if (usable == pass.usable.end())
    {
        return found;
    }
    for (worker_entry* worker : usable->second)
    {
        if (step.needs.fits_in(worker->free_resources()) &&
            may_run(pass, step, *worker, true))
        {
            found.push_back(worker);
        }
    }
    return found;
}

double planner::score(
    const candidate& step, const task_entry& task, const worker_entry& worker)
{
    double score = free_fraction(
        worker.free_resources() - step.needs, worker.registration.capacity);
    if (!step.spec->data_rack.empty() &&
        step.spec->data_rack != worker.registration.rack.str())
    {
        score += remote_data_penalty;
    }
    if (task.failed_last && task.worker == worker.registration.id)
    {
        score += repeated_failure_penalty;
    }
    return score;
}

void planner::place_tasks(planning_pass& pass, candidate& step)
{
    const account_settings* account = pass.config.find(step.job->job.account);
    const std::vector<worker_entry*> permitted = permitted_workers(pass, step);
    for (std::uint32_t index = 0; index < step.step->tasks.size(); ++index)
    {
        const task_entry& task = step.step->tasks[index];
        if (task.state != task_entry::phase::waiting)
        {
            continue;
        }
        if (account != nullptr &&
            !within_cap(
                pass.workers.used_by(account->name) + step.needs, account->cap))
        {
            step.at_cap = true;
            return;
        }
        worker_entry* best = nullptr;
        double best_score = std::numeric_limits<double>::max();
        for (worker_entry* worker : permitted)
        {
            if (!step.needs.fits_in(worker->free_resources()) ||
                !below_worker_limit(step, *worker) ||
                worker->runs.contains({step.step->id, index}))
            {
                continue;
            }
            const double worker_score = score(step, task, *worker);
            if (worker_score < best_score)
            {
                best_score = worker_score;
                best = worker;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        start(pass, step, index, pass.jobs.next_run(*step.job), *best);
        ++step.on_worker[best->registration.id];
    }
}

void planner::start(
    planning_pass& pass,
    candidate& step,
    std::uint32_t index,
    run_number run,
    worker_entry& worker)
{
    const task_entry& task = step.step->tasks[index];
    start_decision decision;
    decision.task = {step.step->id, index};
    decision.run = run;
    decision.worker = worker.registration.id;
    decision.checkpoint = task.checkpoint;
    if (step.requires_permits())
    {
        decision.ticket =
            step.step->permits.allowed[worker.registration.id].ticket;
    }
    run_entry entry;
    entry.task = decision.task;
    entry.run = run;
    entry.needs = step.needs;
    entry.account = step.job->job.account;
    entry.checkpoint = task.checkpoint;
    entry.started = pass.now;
    pass.workers.add_run(worker, std::move(entry));
    pass.jobs.begin_run(*step.step, index, run, worker.registration.id);
    pass.decided.starts.push_back(std::move(decision));
}

std::vector<worker_entry*> planner::fit_gang(
    planning_pass& pass,
    candidate& step,
    bool need_permits,
    const std::string& rack)
{
    const auto usable = pass.usable.find(step.queue->service);
    if (usable == pass.usable.end())
    {
        return {};
    }
    std::vector<worker_entry*> fitting;
    for (worker_entry* worker : usable->second)
    {
        if ((rack.empty() || worker->registration.rack.str() == rack) &&
            step.needs.fits_in(worker->free_resources()) &&
            (need_permits ||
             step.step->permits.allowed.contains(worker->registration.id) ||
             !step.requires_permits()) &&
            may_run(pass, step, *worker, need_permits))
        {
            fitting.push_back(worker);
        }
    }
    std::stable_sort(
        fitting.begin(),
        fitting.end(),
        [](const worker_entry* left, const worker_entry* right)
        {
            return free_fraction(
                       left->free_resources(), left->registration.capacity) <
                   free_fraction(
                       right->free_resources(), right->registration.capacity);
        });
    std::vector<worker_entry*> places;
    for (worker_entry* worker : fitting)
    {
        const auto here = static_cast<std::size_t>(
            members_that_fit(worker->free_resources(), *step.spec, step.needs));
        places.insert(
            places.end(),
            std::min(here, step.step->tasks.size() - places.size()),
            worker);
    }
    return places.size() == step.step->tasks.size()
               ? places
               : std::vector<worker_entry*>{};
}

bool planner::place_gang(planning_pass& pass, candidate& step)
{
    const account_settings* account = pass.config.find(step.job->job.account);
    const auto count = static_cast<std::int64_t>(step.step->tasks.size());
    if (account != nullptr &&
        !within_cap(
            pass.workers.used_by(account->name) + step.needs * count,
            account->cap))
    {
        return false;
    }
    std::vector<worker_entry*> places;
    if (step.spec->one_rack)
    {
        std::set<std::string> racks;
        for (worker_entry* worker : pass.usable[step.queue->service])
        {
            racks.insert(worker->registration.rack.str());
        }
        for (const std::string& rack : racks)
        {
            places = fit_gang(pass, step, true, rack);
            if (!places.empty())
            {
                break;
            }
        }
    }
    if (places.empty())
    {
        places = fit_gang(pass, step, true, {});
    }
    if (!places.empty())
    {
        const run_number run = pass.jobs.next_run(*step.job);
        for (std::uint32_t index = 0; index < places.size(); ++index)
        {
            start(pass, step, index, run, *places[index]);
        }
        reserved_workers_.erase(step.step->id);
        return true;
    }
    const std::vector<worker_entry*> fitting = fit_gang(pass, step, false, {});
    if (fitting.empty())
    {
        reserve_workers(pass, step);
    }
    else
    {
        std::set<worker_id>& reserved = reserved_workers_[step.step->id];
        reserved.clear();
        for (worker_entry* worker : fitting)
        {
            reserved.insert(worker->registration.id);
            pass.reserve(worker->registration.id, step);
        }
    }
    if (step.requires_permits())
    {
        request_gang_permits(pass, step, fitting);
    }
    return false;
}

void planner::reserve_workers(planning_pass& pass, candidate& step)
{
    const bool has_allowed_workers =
        !step.requires_permits() || !step.step->permits.allowed.empty();
    if (!has_allowed_workers || step.urgency != urgency_class::in_time ||
        reserved_workers_.contains(step.step->id) ||
        reserved_workers_.size() >= settings_.max_reserving_gangs)
    {
        return;
    }
    std::vector<worker_entry*> reservable;
    for (worker_entry* worker : pass.usable[step.queue->service])
    {
        if (may_run(pass, step, *worker, false) &&
            !pass.reserved.contains(worker->registration.id) &&
            (!step.requires_permits() ||
             step.step->permits.allowed.contains(worker->registration.id)))
        {
            reservable.push_back(worker);
        }
    }
    std::stable_sort(
        reservable.begin(),
        reservable.end(),
        [](const worker_entry* left, const worker_entry* right)
        {
            return free_fraction(
                       left->free_resources(), left->registration.capacity) >
                   free_fraction(
                       right->free_resources(), right->registration.capacity);
        });
    std::size_t members = 0;
    std::set<worker_id> reserved;
    for (worker_entry* worker : reservable)
    {
        if (members >= step.step->tasks.size())
        {
            break;
        }
        for (resources left = worker->registration.capacity;
             step.needs.fits_in(left);
             left -= step.needs)
        {
            ++members;
        }
        reserved.insert(worker->registration.id);
    }
    if (members < step.step->tasks.size())
    {
        return; // The gang would not fit even on all of these workers.
    }
    for (const worker_id& worker : reserved)
    {
        pass.reserve(worker, step);
    }
    reserved_workers_[step.step->id] = std::move(reserved);
}

void planner::request_task_permits(planning_pass& pass, candidate& step)
{
    step_permits& permits = step.step->permits;
    if (permits.request_in_flight || pass.now < permits.retry_not_before)
    {
        return;
    }
    const double share = allowed_share_of(step.queue->name);
    std::vector<worker_id> named;
    double expected_permits = 0;
    const double wanted_permits = step.step->waiting;
    auto add_workers = [&](bool previously_allowed)
    {
        for (worker_entry* worker : pass.usable[step.queue->service])
        {
            if (expected_permits >= wanted_permits ||
                named.size() >= settings_.max_workers_per_request)
            {
                return;
            }
            const worker_id& id = worker->registration.id;
            if (!step.needs.fits_in(worker->free_resources()) ||
                permits.allowed.contains(id) != previously_allowed ||
                permits.denied.contains(id) ||
                !may_run(pass, step, *worker, false))
            {
                continue;
            }
            named.push_back(id);
            expected_permits += previously_allowed
                                    ? 1.0
                                    : share * settings_.expected_permit_factor;
        }
    };
    add_workers(true); // Their expired permits are likely to be renewed.
    add_workers(false);
    if (expected_permits < wanted_permits &&
        step.urgency == urgency_class::in_time && permits.allowed.empty() &&
        permits.denied.empty())
    {
        add_busy_workers(pass, step, named);
    }
    request_permits(pass, step, std::move(named));
}

void planner::add_busy_workers(
    planning_pass& pass,
    const candidate& step,
    std::vector<worker_id>& named) const
{
    const policy_timing& timing = *step.queue->advice;
    const double workers_in_time_limit =
        timing.per_worker.count() <= 0
            ? static_cast<double>(settings_.max_workers_per_request)
            : settings_.busy_workers_time_share *
                  (timing.base / timing.per_worker);
    const auto max_workers = std::min(
        settings_.max_workers_per_request,
        static_cast<std::size_t>(std::max(0.0, workers_in_time_limit)));
    for (worker_entry* worker : pass.usable[step.queue->service])
    {
        if (named.size() >= max_workers)
        {
            return;
        }
        if (!step.needs.fits_in(worker->free_resources()) &&
            step.needs.fits_in(worker->registration.capacity) &&
            may_run(pass, step, *worker, false))
        {
            named.push_back(worker->registration.id);
        }
    }
}

void planner::request_gang_permits(
    planning_pass& pass,
    candidate& step,
    const std::vector<worker_entry*>& places)
{
    step_permits& permits = step.step->permits;
    if (permits.request_in_flight || pass.now < permits.retry_not_before)
    {
        return;
    }
    std::vector<worker_id> named;
    if (!places.empty())
    {
        for (worker_entry* worker : places)
        {
            if (named.empty() || named.back() != worker->registration.id)
            {
                named.push_back(worker->registration.id);
            }
        }
        request_permits(pass, step, std::move(named));
        return;
    }
    request_permits(pass, step, gang_candidates(pass, step));
}

std::vector<worker_id>
planner::gang_candidates(planning_pass& pass, const candidate& step)
{
    struct undecided_worker
    {
        const worker_entry* worker;
        std::int64_t members_now;     ///< Members that fit now.
        std::int64_t members_if_idle; ///< Members that fit on the idle worker.
    };
    const step_permits& permits = step.step->permits;
    std::vector<undecided_worker> undecided;
    for (const worker_entry* worker : pass.usable[step.queue->service])
    {
        const worker_id& id = worker->registration.id;
        const std::int64_t members_if_idle = members_that_fit(
            worker->registration.capacity, *step.spec, step.needs);
        if (members_if_idle > 0 && !permits.allowed.contains(id) &&
            !permits.denied.contains(id) && may_run(pass, step, *worker, false))
        {
            undecided.push_back(
                {worker,
                 members_that_fit(
                     worker->free_resources(), *step.spec, step.needs),
                 members_if_idle});
        }
    }
    std::stable_sort(
        undecided.begin(),
        undecided.end(),
        [](const undecided_worker& left, const undecided_worker& right)
        {
            return std::pair(left.members_now, left.members_if_idle) >
                   std::pair(right.members_now, right.members_if_idle);
        });
    const double share = allowed_share_of(step.queue->name);
    const double wanted_members = settings_.gang_candidate_factor *
                                  static_cast<double>(step.step->tasks.size());
    double expected_members = 0;
    std::vector<worker_id> named;
    for (const undecided_worker& each : undecided)
    {
        if (named.size() >= settings_.max_workers_per_request ||
            expected_members >= wanted_members)
        {
            break;
        }
        named.push_back(each.worker->registration.id);
        expected_members += share * static_cast<double>(each.members_now);
    }
    return named;
}

void planner::request_permits(
    planning_pass& pass, candidate& step, std::vector<worker_id> workers)
{
    if (workers.empty())
    {
        return;
    }
    const auto expected = std::chrono::ceil<milliseconds>(
        step.queue->advice->base +
        step.queue->advice->per_worker * static_cast<double>(workers.size()));
    std::size_t& left = expected > pass.budget.longest_short_request
                            ? pass.budget.long_requests
                            : pass.budget.short_requests;
    if (left == 0)
    {
        return; // A later pass sends the request if it is still needed.
    }
    --left;
    step.step->permits.request_in_flight = true;
    pass.decided.permit_requests.push_back(
        {step.step->id,
         std::move(workers),
         static_cast<std::uint32_t>(step.urgency) * priority_levels +
             std::min(step.queue->priority, priority_levels - 1),
         expected});
}

double& planner::allowed_share_of(const queue_name& queue)
{
    return allowed_share_.try_emplace(queue, settings_.initial_allowed_share)
        .first->second;
}

void planner::note_answer(
    job_tracker& jobs,
    worker_table& workers,
    const step_id& step,
    const std::vector<worker_id>& asked,
    const permits& answer,
    instant usable_until)
{
    step_entry* step_state = jobs.find(step);
    if (step_state == nullptr)
    {
        return;
    }
    step_permits& known = step_state->permits;
    known.request_in_flight = false;
    std::size_t newly_answered = 0;
    for (const worker_id& worker : asked)
    {
        newly_answered += known.allowed.contains(worker) ? 0 : 1;
        known.denied.insert(worker);
    }
    std::size_t newly_allowed = 0;
    for (const permits::permit& permit : answer.allowed)
    {
        newly_allowed += known.allowed.contains(permit.worker) ? 0 : 1;
        known.denied.erase(permit.worker);
        const worker_entry* worker = workers.find(permit.worker);
        known.allowed[permit.worker] = {
            permit.ticket,
            usable_until,
            worker == nullptr ? 0 : worker->registration.incarnation};
    }
    if (newly_answered > 0)
    {
        double& share = allowed_share_of(jobs.find(step.job)->job.queue);
        const double allowed_now = static_cast<double>(newly_allowed) /
                                   static_cast<double>(newly_answered);
        share += settings_.allowed_share_smoothing * (allowed_now - share);
    }
}

void planner::note_no_answer(
    job_tracker& jobs, const step_id& step, instant retry_not_before)
{
    if (step_entry* entry = jobs.find(step))
    {
        entry->permits.request_in_flight = false;
        entry->permits.retry_not_before = retry_not_before;
    }
}

} // namespace acaciastile::fleet
