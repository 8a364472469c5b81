#include "fleet/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace acaciastile::fleet
{

namespace
{

/// Requests may examine this part of what a pass may examine, beside it.
constexpr std::size_t request_work_divisor = 4;

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
    permit_demand demand;
    room_claims claims{}; ///< Of requests without an answer.
    /// Places of gangs on workers with permits, some of which have expired.
    std::map<const step_entry*, permit_requests::named_workers> gang_places{};
    const unsettled_order_table* orders = nullptr; ///< Null: binds no task.

    /// True if the account stays within its cap with `added`, whatever is
    /// running unknown to this owner.
    [[nodiscard]] bool
    within_cap(const waiting_step& step, const resources& added) const;
};

bool planner::planning_pass::within_cap(
    const waiting_step& step, const resources& added) const
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
    const std::optional<resources>& unheard_capacity,
    const unsettled_order_table* orders)
{
    planning_pass pass{
        jobs,
        workers,
        config,
        now,
        budget,
        ++pass_count_,
        {},
        0,
        {},
        unheard_capacity,
        permit_demand(jobs.account_names().size())};
    pass.orders =
        orders != nullptr && orders->bound_tasks() > 0 ? orders : nullptr;
    reservations_.resize(workers.handle_count());
    const std::pair abilities(workers.abilities_version(), config.version());
    if (abilities != abilities_seen_)
    {
        abilities_seen_ = abilities;
        ++abilities_epoch_;
    }
    std::vector<waiting_step> waiting =
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
        for (const waiting_step& step : waiting)
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
    place_all(pass, waiting);
    request_permits(pass);
    pass.decided.examined = pass.examined;
    return std::move(pass.decided);
}

void planner::place_all(planning_pass& pass, std::vector<waiting_step>& waiting)
{
    std::size_t next = 0;
    const auto place_until = [&](std::size_t most_examined)
    {
        for (; next < waiting.size() && pass.examined <= most_examined; ++next)
        {
            ++pass.examined;
            place_step(pass, waiting[next]);
            note_wait(pass, waiting[next]);
            add_demand(pass, waiting[next]);
        }
    };
    const bool is_resumed = resume_at_.has_value();
    place_until(
        is_resumed ? settings_.max_examined -
                         settings_.max_examined / settings_.resumed_divisor
                   : settings_.max_examined);
    if (next == waiting.size())
    {
        resume_at_.reset();
        return;
    }
    pass.decided.complete = false;
    const std::size_t reached = next;
    if (is_resumed)
    {
        const auto resumed = std::find_if(
            waiting.begin(),
            waiting.end(),
            [&](const waiting_step& each)
            { return each.step->id == resume_at_->step; });
        next = std::max(
            next,
            resumed == waiting.end()
                ? std::min(resume_at_->position, waiting.size())
                : static_cast<std::size_t>(resumed - waiting.begin()));
        place_until(settings_.max_examined);
    }
    const std::size_t later = next < waiting.size() ? next : reached;
    resume_at_ = {waiting[later].step->id, later};
}

bool planner::is_possible(
    const planning_pass& pass,
    const job_entry& job,
    step_entry& step,
    const queue_settings& queue) const
{
    if (step.possible_checked_at == abilities_epoch_)
    {
        return step.is_possible;
    }
    step.possible_checked_at = abilities_epoch_;
    const step_spec& spec = job.spec(step.id);
    const resources needs = resources_needed(spec);
    const std::size_t wanted = spec.gang ? step.tasks.size() : 1;
    std::size_t places = 0;
    for (const worker_entry* worker : pass.workers.all())
    {
        if (worker->listed && worker->registration.service == queue.service &&
            (spec.required_label.empty() ||
             worker->has_label(spec.required_label)))
        {
            places += static_cast<std::size_t>(
                members_that_fit(worker->registration.capacity, spec, needs));
        }
        if (places >= wanted)
        {
            break;
        }
    }
    step.is_possible = places >= wanted;
    return step.is_possible;
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

void planner::note_impossible(
    planning_pass& pass, job_entry& job, const step_entry& step)
{
    ++pass.decided.impossible_steps;
    if (!job.impossible_logged &&
        pass.decided.first_impossible.size() < max_impossible_logged)
    {
        job.impossible_logged = true;
        pass.decided.first_impossible.push_back(step.id);
    }
}

std::vector<waiting_step>
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
    std::vector<waiting_step> found;
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
                if (step.waiting == 0 || step.rejections.is_paused(pass.now) ||
                    !pass.jobs.is_ready(*job, step))
                {
                    continue;
                }
                if (!is_possible(pass, *job, step, *queue))
                {
                    note_impossible(pass, *job, step);
                    reserved_workers_.erase(step.id);
                    continue;
                }
                if (pass.now >= step.limits_valid_until)
                {
                    step.limits =
                        limits_of(*job, step.id.occurrence, *queue, run_times_);
                    step.limits_valid_until =
                        pass.now + settings_.urgency_refresh;
                }
                waiting_step& added = found.emplace_back();
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
            const waiting_step& left = found[first];
            const waiting_step& right = found[second];
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
    std::vector<waiting_step> ordered;
    ordered.reserve(found.size());
    for (const std::uint32_t at : order)
    {
        ordered.push_back(std::move(found[at]));
    }
    return ordered;
}

void planner::place_step(planning_pass& pass, waiting_step& step)
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
}

void planner::note_wait(planning_pass& pass, const waiting_step& step)
{
    if (step.step->waiting == 0 || !step.requires_permits() ||
        !step.permit_wait_reason)
    {
        return;
    }
    const permit_wait reason = *step.permit_wait_reason;
    ++pass.decided.permit_waits[static_cast<std::size_t>(reason)];
    if (!step.job->permit_wait_logged &&
        pass.decided.first_permit_waits.size() < max_permit_waits_logged)
    {
        step.job->permit_wait_logged = true;
        pass.decided.first_permit_waits.push_back({step.step->id, reason});
    }
}

void planner::add_demand(planning_pass& pass, waiting_step& step)
{
    const step_permits& permits = step.step->permits;
    const std::uint32_t waiting = step.step->waiting;
    if (waiting == 0 || !step.requires_permits() || step.is_partial_gang() ||
        pass.budget.is_spent())
    {
        return;
    }
    if (permits.request_in_flight)
    {
        pass.demand.add_unanswered(step);
        pass.claims.add(
            permits.requested_workers, step.needs, permits.requested_tasks);
        pass.demand.promise(step, std::min(waiting, permits.requested_tasks));
        return;
    }
    if (step.permit_wait_reason == permit_wait::at_cap)
    {
        // Starts with the permits that it has once the cap admits it.
        pass.demand.promise(step, std::min(waiting, permits.requested_tasks));
        return;
    }
    if (!permits_.may_ask(step, pass.now, pass.budget) ||
        permits.searched_in == search_round_)
    {
        return;
    }
    // A gang is not asked for ahead: its members need room at the same time.
    // Nor is a step whose last permits could not be used: the room at the cap
    // that was expected may not come.
    resources ending;
    if (step.has_cap() && !step.spec->gang && !permits.is_unused)
    {
        ending = permits_.ending_use(
            step,
            pass.workers.used_by(step.account->name),
            run_times_.expect(step.job->job.queue, *step.spec));
    }
    pass.demand.add(step, waiting, ending);
}

void planner::request_permits(planning_pass& pass)
{
    if (pass.budget.is_spent())
    {
        return;
    }
    const auto may_run_step =
        [&](const waiting_step& step, const worker_entry& worker)
    { return may_run(pass, step, worker); };
    const auto sort_workers =
        [&](const waiting_step& step, permit_requests::named_workers& workers)
    { sort_by_speed(pass, step, workers); };
    permit_requests::planning_view view{
        pass.workers,
        pass.now,
        pass.budget,
        may_run_step,
        sort_workers,
        speeds_.is_uneven(),
        choice_factor(),
        pass.examined,
        pass.gang_places,
        pass.claims,
        pass.decided.permit_requests};
    // Where few workers can be named, the budget is not spent and each step
    // would be compared with all workers.
    const std::size_t most_examined =
        pass.examined + settings_.max_examined / request_work_divisor;
    pass.demand.distribute(
        [&] { return view.budget.is_spent() || pass.examined > most_examined; },
        [&](const waiting_step& step, const resources& added)
        { return pass.within_cap(step, added); },
        [&](waiting_step& step, std::uint32_t tasks)
        {
            const bool sent =
                permits_.ask(view, step, tasks, pass.demand.unanswered(step));
            step.step->permits.searched_in = sent ? 0 : search_round_;
            return sent;
        });
    if (pass.examined <= most_examined)
    {
        ++search_round_;
    }
}

bool planner::below_worker_limit(
    const waiting_step& step, const worker_entry& worker)
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
    const waiting_step& step,
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
    planning_pass& pass, worker_handle worker, const waiting_step& step)
{
    reservation& entry = reservations_[worker];
    if (entry.pass != pass.number)
    {
        entry = {pass.number, step.step, step.rank()};
    }
}

std::optional<permit_wait> planner::wait_at(
    const planning_pass& pass,
    const waiting_step& step,
    const step_permits::grant& grant) const
{
    const worker_entry* worker = pass.workers.at(grant.worker);
    if (grant.until <= pass.now + settings_.permit_expiry_margin)
    {
        return permit_wait::expired;
    }
    if (worker == nullptr ||
        grant.incarnation != worker->registration.incarnation)
    {
        return permit_wait::worker_replaced;
    }
    if (!step.needs.fits_in(worker->free_resources()))
    {
        return permit_wait::worker_full;
    }
    if (may_run(pass, step, *worker))
    {
        return std::nullopt;
    }
    return !pass.workers.is_usable(*worker, pass.now)
               ? permit_wait::worker_unusable
           : worker->trials > 0 ? permit_wait::on_trial
                                : permit_wait::reserved;
}

std::vector<worker_entry*>
planner::permitted_workers(planning_pass& pass, waiting_step& step) const
{
    std::vector<worker_entry*> found;
    for (step_permits::grant& grant : step.step->permits.allowed)
    {
        ++pass.examined;
        const auto reason = wait_at(pass, step, grant);
        if (reason)
        {
            step.note_wait(*reason);
            grant.was_full |= *reason == permit_wait::worker_full;
        }
        else
        {
            found.push_back(pass.workers.at(grant.worker));
        }
    }
    return found;
}

double planner::score(
    const waiting_step& step,
    const task_entry& task,
    const worker_entry& worker)
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
planner::time_left(const planning_pass& pass, const waiting_step& step) const
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
    const planning_pass& pass, const waiting_step& step, double speed) const
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
    const waiting_step& step,
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
    const waiting_step& step,
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
    const waiting_step& step,
    std::uint32_t index,
    const std::vector<worker_entry*>& permitted) const
{
    const task_entry& task = step.step->tasks[index];
    const auto trial = trial_of(step, index);
    worker_entry* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    // Returns false if the task cannot start on the worker now.
    const auto compare = [&](worker_entry* worker)
    {
        ++pass.examined;
        // A trial may have begun on the worker in this pass.
        if (!step.needs.fits_in(worker->free_resources()) ||
            !below_worker_limit(step, *worker) || worker->trials > 0 ||
            !may_try(pass, trial, *worker))
        {
            return false;
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
        return true;
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
                // Workers on which the task cannot start do not count, as they
                // come first in the next search too.
                if (worker != nullptr && may_run(pass, step, *worker) &&
                    compare(worker))
                {
                    ++compared;
                }
                return compared < settings_.max_compared_workers;
            });
    }
    return best;
}

void planner::place_tasks(planning_pass& pass, waiting_step& step)
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
            step.note_wait(permit_wait::at_cap);
            return;
        }
        if (const auto bound = bound_worker(pass, step, index))
        {
            place_bound_task(pass, step, index, *bound, permitted);
            continue; // Others need another worker.
        }
        worker_entry* best = best_worker(pass, step, index, permitted);
        if (best == nullptr && step.step->tasks[index].crashes.is_suspect())
        {
            step.note_wait(permit_wait::on_trial);
            continue; // Others need no quiet worker.
        }
        if (best == nullptr)
        {
            step.note_wait(permit_wait::worker_full);
            return;
        }
        start(pass, step, index, pass.jobs.next_run(*step.job), *best);
        if (step.spec->max_per_worker > 0)
        {
            ++step.on_worker[best->handle];
        }
    }
}

std::optional<worker_id> planner::bound_worker(
    const planning_pass& pass, const waiting_step& step, std::uint32_t index)
{
    return pass.orders == nullptr
               ? std::nullopt
               : pass.orders->bound_worker({step.step->id, index}, pass.now);
}

void planner::place_bound_task(
    planning_pass& pass,
    waiting_step& step,
    std::uint32_t index,
    const worker_id& bound,
    const std::vector<worker_entry*>& permitted)
{
    ++pass.examined;
    worker_entry* worker = pass.workers.find(bound);
    if (const auto reason = hold_at(pass, step, index, worker, permitted))
    {
        note_held(pass, step, index, bound, *reason);
        return;
    }
    start(pass, step, index, pass.jobs.next_run(*step.job), *worker);
    if (step.spec->max_per_worker > 0)
    {
        ++step.on_worker[worker->handle];
    }
}

std::optional<hold_reason> planner::hold_at(
    const planning_pass& pass,
    const waiting_step& step,
    std::uint32_t index,
    const worker_entry* worker,
    const std::vector<worker_entry*>& permitted) const
{
    const bool is_permitted =
        !step.requires_permits() ||
        std::find(permitted.begin(), permitted.end(), worker) !=
            permitted.end();
    if (worker == nullptr || !may_run(pass, step, *worker) || !is_permitted)
    {
        return hold_reason::unusable;
    }
    if (!pass.orders->is_barred(
            {step.step->id, index},
            worker->registration.id,
            worker->registration.incarnation,
            pass.now))
    {
        return hold_reason::not_barred;
    }
    if (!step.needs.fits_in(worker->free_resources()) ||
        !may_try(pass, trial_of(step, index), *worker))
    {
        return hold_reason::no_room;
    }
    return std::nullopt;
}

void planner::note_held(
    planning_pass& pass,
    const waiting_step& step,
    std::uint32_t index,
    const worker_id& worker,
    hold_reason reason)
{
    ++pass.decided.held_tasks;
    task_entry& task = step.step->tasks[index];
    if (task.held_since)
    {
        return;
    }
    task.held_since = pass.now;
    if (pass.decided.first_held.size() < max_holds_logged)
    {
        pass.decided.first_held.push_back(
            {{step.step->id, index}, worker, reason});
    }
}

run_entry::trial_length
planner::trial_of(const waiting_step& step, std::uint32_t index)
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
    waiting_step& step,
    std::uint32_t index,
    run_number run,
    worker_entry& worker)
{
    task_entry& task = step.step->tasks[index];
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
    if (task.held_since)
    {
        decision.held = pass.now - *task.held_since;
        task.held_since.reset();
    }
    if (step.requires_permits())
    {
        const step_permits::grant* grant =
            step.step->permits.find(worker.handle);
        decision.ticket = grant == nullptr ? std::string() : grant->ticket;
        pass.decided.permits_used += step.step->permits.is_unused ? 1 : 0;
        step.step->permits.is_unused = false;
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

std::int64_t planner::bound_members::places_left(
    const worker_entry& worker, const waiting_step& step) const
{
    const auto at = on_worker.find(worker.handle);
    const std::int64_t here = at == on_worker.end() ? 0 : at->second;
    const std::int64_t limit = step.spec->max_per_worker;
    const std::int64_t fitting = members_that_fit(
        worker.free_resources() - step.needs * here, *step.spec, step.needs);
    return limit > 0 ? std::min(fitting, limit - here) : fitting;
}

bool planner::place_bound_members(
    planning_pass& pass, const waiting_step& step, bound_members& bound)
{
    if (pass.orders == nullptr)
    {
        return true;
    }
    for (std::uint32_t index = 0; index < step.step->tasks.size(); ++index)
    {
        const auto id = bound_worker(pass, step, index);
        if (!id)
        {
            continue;
        }
        worker_entry* worker = pass.workers.find(*id);
        auto reason = hold_at(pass, step, index, worker, {});
        if (!reason && bound.places_left(*worker, step) <= 0)
        {
            reason = hold_reason::no_room;
        }
        if (reason)
        {
            note_held(pass, step, index, *id, *reason);
            return false;
        }
        bound.places.emplace(index, worker);
        ++bound.on_worker[worker->handle];
    }
    return true;
}

std::vector<worker_entry*> planner::fit_gang(
    planning_pass& pass,
    waiting_step& step,
    bool need_permits,
    const rack_name* rack,
    const bound_members& bound)
{
    std::vector<worker_entry*> fitting;
    const std::size_t members = step.step->tasks.size() - bound.places.size();
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
            places_found += static_cast<std::size_t>(
                std::max<std::int64_t>(0, bound.places_left(*worker, step)));
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
            std::max<std::int64_t>(0, bound.places_left(*worker, step)));
        places.insert(
            places.end(), std::min(here, members - places.size()), worker);
    }
    return places;
}

std::vector<worker_entry*> planner::fit_gang_into_rack(
    planning_pass& pass, waiting_step& step, const bound_members& bound)
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
        std::vector<worker_entry*> places =
            fit_gang(pass, step, true, &rack, bound);
        if (!places.empty())
        {
            return places;
        }
    }
    return {};
}

bool planner::place_gang(planning_pass& pass, waiting_step& step)
{
    bound_members bound;
    if (!place_bound_members(pass, step, bound))
    {
        return false;
    }
    const auto count = static_cast<std::int64_t>(step.step->tasks.size());
    if (!pass.within_cap(step, step.needs * count))
    {
        const step_permits& permits = step.step->permits;
        if (step.requires_permits() && !permits.allowed.empty())
        {
            step.note_wait(
                permits.has_usable(pass.now) ? permit_wait::at_cap
                                             : permit_wait::expired);
        }
        return false;
    }
    std::vector<worker_entry*> places;
    if (step.spec->one_rack)
    {
        places = fit_gang_into_rack(pass, step, bound);
    }
    if (places.empty())
    {
        places = fit_gang(pass, step, true, nullptr, bound);
    }
    if (places.size() + bound.places.size() == step.step->tasks.size())
    {
        const run_number run = pass.jobs.next_run(*step.job);
        auto next = places.begin();
        for (std::uint32_t index = 0; index < step.step->tasks.size(); ++index)
        {
            const auto at = bound.places.find(index);
            worker_entry* worker =
                at == bound.places.end() ? *next++ : at->second;
            start(pass, step, index, run, *worker);
        }
        reserved_workers_.erase(step.step->id);
        return true;
    }
    const std::vector<worker_entry*> fitting =
        fit_gang(pass, step, false, nullptr, bound);
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
    if (step.requires_permits() && !step.step->permits.allowed.empty())
    {
        step.note_wait(
            fitting.empty() ? permit_wait::gang_incomplete
                            : permit_wait::expired);
    }
    if (!fitting.empty() && step.requires_permits())
    {
        pass.gang_places[step.step].assign(fitting.begin(), fitting.end());
    }
    return false;
}

bool planner::can_hold(
    const planning_pass& pass,
    const waiting_step& step,
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

void planner::reserve_workers(planning_pass& pass, waiting_step& step)
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

} // namespace acaciastile::fleet
