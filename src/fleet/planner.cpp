#include "fleet/planner.hpp"

#include <absl/hash/hash.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

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

/// How often `each` fits into the available amount; no limit if `each` is zero.
std::int64_t
times_that_fit(std::int64_t available, std::int64_t each, std::int64_t limit)
{
    return each <= 0        ? limit
           : available <= 0 ? 0
                            : std::min(limit, available / each);
}

/// Number of a gang's members that fit into the resources of one worker,
/// limited by the step's maximum per worker.
std::int64_t members_that_fit(
    const resources& available, const step_spec& spec, const resources& each)
{
    std::int64_t members =
        spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
    members = times_that_fit(
        available.milli_processors, each.milli_processors, members);
    members = times_that_fit(available.memory_mib, each.memory_mib, members);
    return times_that_fit(available.accelerators, each.accelerators, members);
}

/// Spreads the searches of different steps over similar workers.
std::size_t rotation_of(const step_id& step)
{
    return absl::HashOf(step.job.str(), step.step);
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
    const account_settings* account = nullptr; ///< Null if not configured.
    resources needs;
    /// Active tasks of this step on each worker; only set if the step limits
    /// the number of its tasks per worker.
    std::map<worker_handle, std::uint32_t> on_worker;
    bool at_cap = false; ///< The account's resource cap is reached.
    urgency_class urgency = urgency_class::in_time;
    bool tight = false; ///< See `is_tight`.

    /// Planning order: by urgency class, then by the queue's priority.
    [[nodiscard]] std::pair<urgency_class, std::uint32_t> rank() const
    {
        return {urgency, queue->priority};
    }
    [[nodiscard]] bool requires_permits() const
    {
        return queue->advice.has_value();
    }
    [[nodiscard]] bool has_cap() const
    {
        return account != nullptr && !account->cap.is_zero();
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
    std::uint64_t number = 0;
    plan decided;
    /// Steps and workers examined so far.
    std::size_t examined = 0;
    /// By account index: what may be running unknown to this owner.
    std::vector<resources> unknown_use;
    /// Of the workers that this owner has not heard from, if it is known.
    std::optional<resources> unheard_capacity;

    /// True if the account stays within its cap with `added`, whatever is
    /// running unknown to this owner.
    [[nodiscard]] bool
    within_cap(const candidate& step, const resources& added) const;
};

bool planner::planning_pass::within_cap(
    const candidate& step, const resources& added) const
{
    return !step.has_cap() ||
           acaciastile::fleet::within_cap(
               workers.used_by(step.account->name) +
                   unknown_use[step.job->account_index] + added,
               step.account->cap);
}

plan planner::decide(
    job_tracker& jobs,
    worker_table& workers,
    const configuration& config,
    instant now,
    bool inherited_may_start,
    permit_request_budget budget,
    const std::optional<resources>& unheard_capacity)
{
    planning_pass pass{
        jobs, workers, config, now, budget, ++pass_count_, {}, 0, {}};
    pass.unheard_capacity = unheard_capacity;
    reservations_.resize(workers.handle_count());
    std::vector<candidate> waiting =
        collect_candidates(pass, inherited_may_start);
    std::erase_if(
        reserved_workers_,
        [&](const auto& each)
        {
            const step_entry* step = jobs.find(each.first);
            const job_entry* job = jobs.find(each.first.job);
            return step == nullptr || job->is_final() || step->waiting == 0;
        });
    if (!reserved_workers_.empty())
    {
        for (const candidate& step : waiting)
        {
            const auto reserved = reserved_workers_.find(step.step->id);
            if (reserved != reserved_workers_.end() &&
                !can_hold(pass, step, reserved->second))
            {
                reserved_workers_.erase(reserved);
            }
            else if (reserved != reserved_workers_.end())
            {
                for (const worker_handle worker : reserved->second)
                {
                    reserve(pass, worker, step);
                }
            }
        }
    }
    for (candidate& step : waiting)
    {
        if (pass.examined > settings_.max_examined)
        {
            pass.decided.complete = false;
            break;
        }
        ++pass.examined;
        place_step(pass, step);
    }
    pass.decided.examined = pass.examined;
    return std::move(pass.decided);
}

resources planner::waiting_use(const planning_pass& pass, const job_entry& job)
{
    resources use;
    for (const auto& steps : job.occurrences)
    {
        for (const step_entry& step : steps)
        {
            if (step.waiting > 0 && pass.jobs.is_ready(job, step))
            {
                use += resources_needed(job.spec(step.id)) *
                       static_cast<std::int64_t>(step.waiting);
            }
        }
    }
    return use;
}

std::vector<planner::candidate>
planner::collect_candidates(planning_pass& pass, bool inherited_may_start)
{
    std::vector<const queue_settings*> queues;
    for (const queue_name& name : pass.jobs.queue_names())
    {
        queues.push_back(pass.config.find(name));
    }
    std::vector<const account_settings*> accounts;
    for (const account_name& name : pass.jobs.account_names())
    {
        accounts.push_back(pass.config.find(name));
    }
    pass.unknown_use.resize(accounts.size());
    // Use by tasks that may be running on workers not heard from. Those of jobs
    // with unreconciled runs may be on other workers too.
    std::vector<resources> unheard_use(accounts.size());
    std::vector<candidate> found;
    for (job_entry* job : pass.jobs.open())
    {
        if (job->has_unreconciled_runs)
        {
            pass.unknown_use[job->account_index] += waiting_use(pass, *job);
            continue;
        }
        if (job->inherited && !inherited_may_start)
        {
            unheard_use[job->account_index] += waiting_use(pass, *job);
            continue;
        }
        const queue_settings* queue = queues[job->queue_index];
        if (queue == nullptr)
        {
            queue = &job->job.settings_at_acceptance;
        }
        for (auto& steps : job->occurrences)
        {
            for (step_entry& step : steps)
            {
                if (step.waiting == 0 || !pass.jobs.is_ready(*job, step))
                {
                    continue;
                }
                if (pass.now >= step.limits_valid_until)
                {
                    step.limits =
                        limits_of(*job, step.id.occurrence, *queue, run_times_);
                    step.limits_valid_until =
                        pass.now + settings_.urgency_refresh;
                }
                candidate& added = found.emplace_back();
                added.job = job;
                added.step = &step;
                added.spec = &job->spec(step.id);
                added.queue = queue;
                added.account = accounts[job->account_index];
                added.needs = resources_needed(*added.spec);
                added.urgency = urgency_of(*job, step.limits, pass.now);
                added.tight = settings_.defer_tight_jobs &&
                              added.urgency == urgency_class::in_time &&
                              is_tight(step.limits, pass.now);
            }
        }
    }
    for (std::size_t at = 0; at < unheard_use.size(); ++at)
    {
        resources& use = unheard_use[at];
        if (pass.unheard_capacity)
        {
            use = min(use, *pass.unheard_capacity);
        }
        pass.unknown_use[at] += use;
    }
    std::vector<std::uint32_t> order(found.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(
        order.begin(),
        order.end(),
        [&](std::uint32_t first, std::uint32_t second)
        {
            const candidate& left = found[first];
            const candidate& right = found[second];
            if (left.rank() != right.rank())
            {
                return left.rank() < right.rank();
            }
            if (left.tight != right.tight)
            {
                return right.tight;
            }
            if (left.job->known_since != right.job->known_since)
            {
                return left.job->known_since < right.job->known_since;
            }
            return left.step->id < right.step->id;
        });
    std::vector<candidate> ordered;
    ordered.reserve(found.size());
    for (const std::uint32_t at : order)
    {
        ordered.push_back(std::move(found[at]));
    }
    return ordered;
}

void planner::place_step(planning_pass& pass, candidate& step)
{
    if (step.spec->max_per_worker > 0)
    {
        for (const task_entry& task : step.step->tasks)
        {
            for (const task_run& live : task.live_runs)
            {
                if (const worker_entry* worker = pass.workers.find(live.worker))
                {
                    ++step.on_worker[worker->handle];
                }
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
    const auto at = step.on_worker.find(worker.handle);
    return at == step.on_worker.end() || at->second < step.spec->max_per_worker;
}

bool planner::may_run(
    const planning_pass& pass,
    const candidate& step,
    const worker_entry& worker) const
{
    if (!pass.workers.is_usable(worker, pass.now) || worker.trials > 0 ||
        worker.registration.service != step.queue->service ||
        (!step.spec->required_label.empty() &&
         !worker.has_label(step.spec->required_label)))
    {
        return false;
    }
    const reservation& reserved = reservations_[worker.handle];
    if (reserved.pass == pass.number && reserved.step != step.step &&
        reserved.rank <= step.rank())
    {
        return false;
    }
    return below_worker_limit(step, worker);
}

bool planner::is_valid(
    const planning_pass& pass,
    const step_permits::grant& grant,
    const worker_entry& worker) const
{
    return grant.until > pass.now + settings_.permit_expiry_margin &&
           grant.incarnation == worker.registration.incarnation;
}

void planner::reserve(
    planning_pass& pass, worker_handle worker, const candidate& step)
{
    reservation& entry = reservations_[worker];
    if (entry.pass != pass.number)
    {
        entry = {pass.number, step.step, step.rank()};
    }
}

std::vector<worker_entry*>
planner::permitted_workers(planning_pass& pass, const candidate& step) const
{
    std::vector<worker_entry*> found;
    for (const step_permits::grant& grant : step.step->permits.allowed)
    {
        ++pass.examined;
        worker_entry* worker = pass.workers.at(grant.worker);
        if (worker != nullptr && step.needs.fits_in(worker->free_resources()) &&
            is_valid(pass, grant, *worker) && may_run(pass, step, *worker))
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

double planner::expected_speed(
    const planning_pass& pass, const worker_entry& worker) const
{
    const double speed = speeds_.speed_of(worker.handle);
    return worker.cold_until > pass.now ? speed * settings_.cold_speed : speed;
}

milliseconds
planner::time_left(const planning_pass& pass, const candidate& step) const
{
    const urgency_limits& limits = step.step->limits;
    const instant until = pass.now <= limits.in_time_until
                              ? limits.in_time_until
                              : limits.useful_until;
    // The limits leave the step the time that it is expected to take.
    return until - pass.now +
           run_times_.expect(step.job->job.queue, *step.spec);
}

double planner::chance_late(
    const planning_pass& pass, const candidate& step, double speed) const
{
    const queue_name& queue = step.job->job.queue;
    return speeds_.chance_longer(
        queue,
        speed,
        time_left(pass, step),
        run_times_.expect(queue, *step.spec));
}

double planner::speed_score(
    const planning_pass& pass,
    const candidate& step,
    const worker_entry& worker) const
{
    if (!speeds_.is_uneven() && worker.cold_until <= pass.now)
    {
        return 0;
    }
    // A cold worker is no slow one that work with time to spare should take.
    return settings_.lateness_cost *
               chance_late(pass, step, expected_speed(pass, worker)) +
           settings_.speed_cost * std::log(speeds_.speed_of(worker.handle));
}

template<class Worker>
void planner::sort_by_speed(
    const planning_pass& pass,
    const candidate& step,
    std::vector<Worker*>& workers) const
{
    if (!speeds_.is_uneven())
    {
        return;
    }
    std::vector<std::pair<double, Worker*>> scored;
    scored.reserve(workers.size());
    for (Worker* worker : workers)
    {
        scored.emplace_back(speed_score(pass, step, *worker), worker);
    }
    std::stable_sort(
        scored.begin(),
        scored.end(),
        [](const auto& left, const auto& right)
        { return left.first < right.first; });
    std::transform(
        scored.begin(),
        scored.end(),
        workers.begin(),
        [](const auto& each) { return each.second; });
}

worker_entry* planner::best_worker(
    planning_pass& pass,
    const candidate& step,
    std::uint32_t index,
    const std::vector<worker_entry*>& permitted) const
{
    const task_entry& task = step.step->tasks[index];
    const auto trial = trial_of(step, index);
    worker_entry* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    const auto compare = [&](worker_entry* worker)
    {
        ++pass.examined;
        // A trial may have begun on the worker in this pass.
        if (!step.needs.fits_in(worker->free_resources()) ||
            !below_worker_limit(step, *worker) || worker->trials > 0 ||
            !may_try(pass, trial, *worker))
        {
            return;
        }
        // Few runs are lost with the worker if the task crashes it.
        const double worker_score =
            trial == run_entry::trial_length::brief
                ? static_cast<double>(worker->runs.size())
                : score(step, task, *worker) + speed_score(pass, step, *worker);
        if (worker_score < best_score)
        {
            best_score = worker_score;
            best = worker;
        }
    };
    if (step.requires_permits())
    {
        for (worker_entry* worker : permitted)
        {
            compare(worker);
        }
        return best;
    }
    if (!step.spec->data_rack.empty())
    {
        for (worker_entry* worker :
             pass.workers.in_rack(rack_name(step.spec->data_rack)))
        {
            if (may_run(pass, step, *worker))
            {
                compare(worker);
            }
        }
    }
    if (const impl::fit_index* free =
            pass.workers.free_capacity(step.queue->service))
    {
        std::size_t compared = 0;
        free->visit(
            step.needs,
            [&](const impl::fit_index::candidate& each)
            {
                worker_entry* worker = pass.workers.at(each.worker);
                if (worker != nullptr && may_run(pass, step, *worker))
                {
                    compare(worker);
                    ++compared;
                }
                return compared < settings_.max_compared_workers;
            });
    }
    return best;
}

void planner::place_tasks(planning_pass& pass, candidate& step)
{
    std::vector<worker_entry*> permitted;
    if (step.requires_permits())
    {
        permitted = permitted_workers(pass, step);
        if (permitted.empty())
        {
            return;
        }
    }
    for (std::uint32_t index = 0; index < step.step->tasks.size(); ++index)
    {
        if (step.step->tasks[index].state != task_entry::phase::waiting)
        {
            continue;
        }
        if (!pass.within_cap(step, step.needs))
        {
            step.at_cap = true;
            return;
        }
        worker_entry* best = best_worker(pass, step, index, permitted);
        if (best == nullptr && step.step->tasks[index].crashes.is_suspect())
        {
            continue; // Others need no quiet worker.
        }
        if (best == nullptr)
        {
            return;
        }
        start(pass, step, index, pass.jobs.next_run(*step.job), *best);
        if (step.spec->max_per_worker > 0)
        {
            ++step.on_worker[best->handle];
        }
    }
}

run_entry::trial_length
planner::trial_of(const candidate& step, std::uint32_t index)
{
    using trial_length = run_entry::trial_length;
    const auto of_task = [](const task_entry& task)
    {
        return task.crashes.needs_long_trial() ? trial_length::until_end
               : task.crashes.is_suspect()     ? trial_length::brief
                                               : trial_length::none;
    };
    if (!step.spec->gang)
    {
        return of_task(step.step->tasks[index]);
    }
    // The members of a gang are tried together.
    trial_length longest = trial_length::none;
    for (const task_entry& member : step.step->tasks)
    {
        longest = std::max(longest, of_task(member));
    }
    return longest;
}

bool planner::may_try(
    const planning_pass& pass,
    run_entry::trial_length trial,
    const worker_entry& worker)
{
    return trial == run_entry::trial_length::none ||
           pass.workers.is_quiet(worker);
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
    decision.worker_limit = step.spec->max_per_worker;
    if (const auto counted = step.on_worker.find(worker.handle);
        counted != step.on_worker.end())
    {
        decision.beside = counted->second;
    }
    decision.speed = expected_speed(pass, worker);
    decision.time_left = time_left(pass, step);
    decision.chance_late = chance_late(pass, step, decision.speed);
    if (step.requires_permits())
    {
        const step_permits::grant* grant =
            step.step->permits.find(worker.handle);
        decision.ticket = grant == nullptr ? std::string() : grant->ticket;
    }
    run_entry entry;
    entry.task = decision.task;
    entry.run = run;
    entry.needs = step.needs;
    entry.account = step.job->job.account;
    entry.checkpoint = task.checkpoint;
    entry.started = pass.now;
    entry.is_timed = task.checkpoint.empty();
    entry.trial = trial_of(step, index);
    pass.workers.add_run(worker, std::move(entry));
    pass.jobs.begin_run(*step.step, index, run, worker.registration.id);
    pass.decided.starts.push_back(std::move(decision));
}

std::vector<worker_entry*> planner::fit_gang(
    planning_pass& pass,
    candidate& step,
    bool need_permits,
    const rack_name* rack)
{
    std::vector<worker_entry*> fitting;
    const std::size_t members = step.step->tasks.size();
    const auto trial = trial_of(step, 0);
    std::size_t places_found = 0;
    const auto consider = [&](worker_entry* worker)
    {
        ++pass.examined;
        if (worker != nullptr &&
            (rack == nullptr || worker->registration.rack == *rack) &&
            step.needs.fits_in(worker->free_resources()) &&
            may_run(pass, step, *worker) && may_try(pass, trial, *worker))
        {
            fitting.push_back(worker);
            places_found += static_cast<std::size_t>(members_that_fit(
                worker->free_resources(), *step.spec, step.needs));
        }
    };
    if (step.requires_permits())
    {
        for (const step_permits::grant& grant : step.step->permits.allowed)
        {
            worker_entry* worker = pass.workers.at(grant.worker);
            if (worker != nullptr &&
                (!need_permits || is_valid(pass, grant, *worker)))
            {
                consider(worker);
            }
        }
    }
    else if (rack != nullptr)
    {
        for (worker_entry* worker : pass.workers.in_rack(*rack))
        {
            consider(worker);
        }
    }
    else if (
        const impl::fit_index* free =
            pass.workers.free_capacity(step.queue->service))
    {
        free->visit(
            step.needs,
            [&](const impl::fit_index::candidate& each)
            {
                consider(pass.workers.at(each.worker));
                return places_found < members * choice_factor();
            });
    }
    if (places_found < members)
    {
        return {};
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
    // A gang ends with its slowest member: workers of like speed lie together.
    sort_by_speed(pass, step, fitting);
    std::vector<worker_entry*> places;
    places.reserve(members);
    for (worker_entry* worker : fitting)
    {
        const auto here = static_cast<std::size_t>(
            members_that_fit(worker->free_resources(), *step.spec, step.needs));
        places.insert(
            places.end(), std::min(here, members - places.size()), worker);
    }
    return places;
}

std::vector<worker_entry*>
planner::fit_gang_into_rack(planning_pass& pass, candidate& step)
{
    std::set<rack_name> racks;
    if (step.requires_permits())
    {
        for (const step_permits::grant& grant : step.step->permits.allowed)
        {
            if (const worker_entry* worker = pass.workers.at(grant.worker))
            {
                racks.insert(worker->registration.rack);
            }
        }
    }
    else
    {
        for (const worker_entry* worker : pass.workers.all())
        {
            racks.insert(worker->registration.rack);
        }
    }
    for (const rack_name& rack : racks)
    {
        std::vector<worker_entry*> places = fit_gang(pass, step, true, &rack);
        if (!places.empty())
        {
            return places;
        }
    }
    return {};
}

bool planner::place_gang(planning_pass& pass, candidate& step)
{
    const auto count = static_cast<std::int64_t>(step.step->tasks.size());
    if (!pass.within_cap(step, step.needs * count))
    {
        return false;
    }
    std::vector<worker_entry*> places;
    if (step.spec->one_rack)
    {
        places = fit_gang_into_rack(pass, step);
    }
    if (places.empty())
    {
        places = fit_gang(pass, step, true, nullptr);
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
    const std::vector<worker_entry*> fitting =
        fit_gang(pass, step, false, nullptr);
    if (fitting.empty())
    {
        reserve_workers(pass, step);
    }
    else
    {
        std::vector<worker_handle>& reserved = reserved_workers_[step.step->id];
        reserved.clear();
        for (const worker_entry* worker : fitting)
        {
            if (reserved.empty() || reserved.back() != worker->handle)
            {
                reserved.push_back(worker->handle);
                reserve(pass, worker->handle, step);
            }
        }
    }
    if (step.requires_permits())
    {
        request_gang_permits(pass, step, fitting);
    }
    return false;
}

bool planner::can_hold(
    const planning_pass& pass,
    const candidate& step,
    const std::vector<worker_handle>& reserved)
{
    std::size_t members = 0;
    for (const worker_handle each : reserved)
    {
        const worker_entry* worker = pass.workers.at(each);
        if (worker != nullptr && worker->listed && !worker->evacuated)
        {
            members += static_cast<std::size_t>(members_that_fit(
                worker->registration.capacity, *step.spec, step.needs));
        }
    }
    return members >= step.step->tasks.size();
}

std::size_t planner::count_reserved() const
{
    std::size_t count = 0;
    for (const auto& [step, reserved] : reserved_workers_)
    {
        count += reserved.size();
    }
    return count;
}

void planner::reserve_workers(planning_pass& pass, candidate& step)
{
    const bool has_allowed_workers =
        !step.requires_permits() || !step.step->permits.allowed.empty();
    // A gang that is out of time only holds up steps that are so too. Without a
    // reservation it would wait until all of them have ended.
    const bool out_of_time = step.urgency == urgency_class::excess ||
                             step.urgency == urgency_class::hopeless;
    const bool may_reserve =
        step.urgency == urgency_class::in_time
            ? reserved_workers_.size() < settings_.max_reserving_gangs
            : out_of_time &&
                  count_reserved() * settings_.late_reservation_divisor <=
                      pass.workers.all().size();
    if (!has_allowed_workers || !may_reserve ||
        reserved_workers_.contains(step.step->id))
    {
        return;
    }
    std::vector<worker_entry*> reservable;
    const auto consider = [&](worker_entry* worker)
    {
        ++pass.examined;
        if (worker != nullptr && may_run(pass, step, *worker) &&
            reservations_[worker->handle].pass != pass.number)
        {
            reservable.push_back(worker);
        }
    };
    if (step.requires_permits())
    {
        for (const step_permits::grant& grant : step.step->permits.allowed)
        {
            consider(pass.workers.at(grant.worker));
        }
    }
    else
    {
        std::for_each(
            pass.workers.all().begin(), pass.workers.all().end(), consider);
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
    std::vector<worker_handle> reserved;
    for (const worker_entry* worker : reservable)
    {
        if (members >= step.step->tasks.size())
        {
            break;
        }
        members += static_cast<std::size_t>(members_that_fit(
            worker->registration.capacity, *step.spec, step.needs));
        reserved.push_back(worker->handle);
    }
    if (members < step.step->tasks.size())
    {
        return; // The gang would not fit even on all of these workers.
    }
    for (const worker_handle worker : reserved)
    {
        reserve(pass, worker, step);
    }
    reserved_workers_[step.step->id] = std::move(reserved);
}

bool planner::may_request_permits(
    const planning_pass& pass, const candidate& step) const
{
    const step_permits& permits = step.step->permits;
    const policy_timing& timing = *step.queue->advice;
    const bool always_long =
        timing.base + timing.per_worker > pass.budget.longest_short_request;
    return !permits.request_in_flight && pass.now >= permits.retry_not_before &&
           (pass.budget.long_requests > 0 ||
            (pass.budget.short_requests > 0 && !always_long));
}

void planner::request_task_permits(planning_pass& pass, candidate& step)
{
    if (!may_request_permits(pass, step))
    {
        return;
    }
    const step_permits& permits = step.step->permits;
    const double share = allowed_share_of(step.queue->name);
    std::vector<const worker_entry*> named;
    double expected_permits = 0;
    const double wanted_permits = step.step->waiting;
    const auto is_enough = [&]
    {
        return expected_permits >= wanted_permits ||
               named.size() >= settings_.max_workers_per_request;
    };
    // Expired permits are likely to be renewed.
    for (const step_permits::grant& grant : permits.allowed)
    {
        ++pass.examined;
        const worker_entry* worker = pass.workers.at(grant.worker);
        if (!is_enough() && worker != nullptr &&
            !permits.denied.contains(grant.worker) &&
            step.needs.fits_in(worker->free_resources()) &&
            may_run(pass, step, *worker))
        {
            named.push_back(worker);
            expected_permits += 1.0;
        }
    }
    const impl::fit_index* free =
        pass.workers.free_capacity(step.queue->service);
    if (!is_enough() && free != nullptr)
    {
        const double permits_each = share * settings_.expected_permit_factor;
        const auto wanted = static_cast<std::size_t>(std::ceil(std::min(
            (wanted_permits - expected_permits) / permits_each,
            static_cast<double>(
                settings_.max_workers_per_request - named.size()))));
        std::vector<const worker_entry*> fitting;
        std::vector<const worker_entry*>& found =
            speeds_.is_uneven() ? fitting : named;
        const std::size_t most = found.size() + wanted * choice_factor();
        free->visit(
            step.needs,
            [&](const impl::fit_index::candidate& each)
            {
                ++pass.examined;
                const worker_entry* worker = pass.workers.at(each.worker);
                if (worker != nullptr &&
                    !permits.denied.contains(each.worker) &&
                    permits.find(each.worker) == nullptr &&
                    may_run(pass, step, *worker))
                {
                    found.push_back(worker);
                }
                return found.size() < most;
            },
            rotation_of(step.step->id));
        sort_by_speed(pass, step, fitting);
        fitting.resize(std::min(fitting.size(), wanted));
        named.insert(named.end(), fitting.begin(), fitting.end());
        expected_permits = permits_each * static_cast<double>(named.size());
    }
    if (expected_permits < wanted_permits &&
        step.urgency == urgency_class::in_time && permits.allowed.empty() &&
        permits.denied.empty())
    {
        add_busy_workers(pass, step, named);
    }
    request_permits(pass, step, named);
}

void planner::add_busy_workers(
    planning_pass& pass,
    const candidate& step,
    std::vector<const worker_entry*>& named) const
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
    const std::vector<worker_entry*>& all = pass.workers.all();
    const std::size_t first = rotation_of(step.step->id);
    for (std::size_t n = 0; n < all.size() && named.size() < max_workers; ++n)
    {
        ++pass.examined;
        const worker_entry* worker = all[(first + n) % all.size()];
        if (!step.needs.fits_in(worker->free_resources()) &&
            step.needs.fits_in(worker->registration.capacity) &&
            may_run(pass, step, *worker))
        {
            named.push_back(worker);
        }
    }
}

void planner::request_gang_permits(
    planning_pass& pass,
    candidate& step,
    const std::vector<worker_entry*>& places)
{
    if (!may_request_permits(pass, step))
    {
        return;
    }
    if (places.empty())
    {
        request_permits(pass, step, gang_candidates(pass, step));
        return;
    }
    std::vector<const worker_entry*> named;
    for (const worker_entry* worker : places)
    {
        if (named.empty() || named.back() != worker)
        {
            named.push_back(worker);
        }
    }
    const std::size_t most = std::min(
        settings_.max_workers_per_request,
        named.size() + 1 + named.size() / settings_.spare_worker_divisor);
    for (const step_permits::grant& grant : step.step->permits.allowed)
    {
        const worker_entry* worker = pass.workers.at(grant.worker);
        if (named.size() < most && worker != nullptr &&
            step.needs.fits_in(worker->free_resources()) &&
            may_run(pass, step, *worker) &&
            std::find(named.begin(), named.end(), worker) == named.end())
        {
            named.push_back(worker);
        }
    }
    request_permits(pass, step, named);
}

std::vector<const worker_entry*>
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
    const std::vector<worker_entry*>& all = pass.workers.all();
    const std::size_t first = rotation_of(step.step->id);
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        ++pass.examined;
        const worker_entry* worker = all[(first + n) % all.size()];
        const std::int64_t members_if_idle = members_that_fit(
            worker->registration.capacity, *step.spec, step.needs);
        if (members_if_idle > 0 && !permits.denied.contains(worker->handle) &&
            permits.find(worker->handle) == nullptr &&
            may_run(pass, step, *worker))
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
    std::vector<const worker_entry*> named;
    for (const undecided_worker& each : undecided)
    {
        if (named.size() >= settings_.max_workers_per_request ||
            expected_members >= wanted_members)
        {
            break;
        }
        named.push_back(each.worker);
        expected_members += share * static_cast<double>(each.members_now);
    }
    return named;
}

void planner::request_permits(
    planning_pass& pass,
    candidate& step,
    const std::vector<const worker_entry*>& workers)
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
    permit_request& request = pass.decided.permit_requests.emplace_back();
    request.step = step.step->id;
    for (const worker_entry* worker : workers)
    {
        request.workers.push_back(worker->registration.id);
    }
    request.priority =
        static_cast<std::uint32_t>(step.urgency) * priority_levels +
        std::min(step.queue->priority, priority_levels - 1);
    request.expected = expected;
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
    for (const worker_id& id : asked)
    {
        if (const worker_entry* worker = workers.find(id))
        {
            newly_answered += known.find(worker->handle) == nullptr ? 1 : 0;
            known.denied.insert(worker->handle);
        }
    }
    std::size_t newly_allowed = 0;
    for (const permits::permit& permit : answer.allowed)
    {
        if (const worker_entry* worker = workers.find(permit.worker))
        {
            known.denied.erase(worker->handle);
            newly_allowed += known.allow(
                                 {worker->handle,
                                  permit.ticket,
                                  usable_until,
                                  worker->registration.incarnation})
                                 ? 1
                                 : 0;
        }
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
