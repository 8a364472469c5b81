#include "fleet/planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciastile::fleet
{

namespace
{

/// True where the cap of each kind holds; zero is no limit.
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

/// How much of a worker is left free after a task, as the larger of the free
/// parts of its processors and memory. Lower is a tighter fit.
double free_fraction(const resources& left, const resources& capacity)
{
    return std::max(
        fraction(left.milli_processors, capacity.milli_processors),
        fraction(left.memory_mib, capacity.memory_mib));
}

/// Added to the score of a worker outside the rack of the task's data, where
/// the task runs slower.
constexpr double remote_data_penalty = 2.0;
/// Added where the task failed on that worker last.
constexpr double repeated_failure_penalty = 4.0;
/// More than there are priorities of queues.
constexpr std::uint32_t priorities = 1'000;

/// Members of a gang that fit into an amount of free room.
std::int64_t
members_that_fit(resources room, const step_spec& spec, const resources& each)
{
    const std::int64_t most =
        spec.max_per_worker > 0 ? spec.max_per_worker : spec.count;
    std::int64_t places = 0;
    while (places < most && each.fits_in(room))
    {
        room -= each;
        ++places;
    }
    return places;
}

} // namespace

resources resources_needed(const step_spec& step)
{
    resources room = step.each;
    if (step.uses_spare_processors)
    {
        room.milli_processors = 0; // Uses what the others leave.
    }
    return room;
}

/// A step that has tasks to start.
struct planner::candidate
{
    job_entry* job = nullptr;
    step_entry* step = nullptr;
    const step_spec* spec = nullptr;
    const queue_settings* queue = nullptr;
    resources room;
    /// Tasks of this step on each worker; filled where a limit asks for it.
    std::map<worker_id, std::uint32_t> on_worker;
    bool at_cap = false; ///< Its account may run no more of it.
    urgency_class chance = urgency_class::in_time;

    /// Order of work: what can still be in time, then by priority.
    [[nodiscard]] std::pair<urgency_class, std::uint32_t> rank() const
    {
        return {chance, queue->priority};
    }
    [[nodiscard]] bool advised() const { return queue->advice.has_value(); }
};

/// What one call of `decide` works on.
struct planner::round
{
    job_tracker& jobs;
    worker_table& workers;
    const configuration& config;
    instant now;
    permit_request_budget questions;
    plan decided;
    std::map<service_name, std::vector<worker_entry*>> usable;
    /// Workers kept free, and for whom.
    struct holder
    {
        step_id step;
        std::pair<urgency_class, std::uint32_t> rank;
    };
    std::map<worker_id, holder> held;

    void hold(const worker_id& worker, const candidate& step)
    {
        held.emplace(worker, holder{step.step->id, step.rank()});
    }
};

plan planner::decide(
    job_tracker& jobs,
    worker_table& workers,
    const configuration& config,
    instant now,
    bool inherited_may_start,
    permit_request_budget questions)
{
    round work{jobs, workers, config, now, questions, {}, {}, {}};
    for (const auto& [id, worker] : workers.all())
    {
        if (workers.is_usable(*worker, now))
        {
            work.usable[worker->about.service].push_back(worker.get());
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
                    found.room = resources_needed(spec);
                    found.chance = urgency_of(
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
        held_,
        [&](const auto& each)
        {
            const step_entry* step = jobs.find(each.first);
            const job_entry* job = jobs.find(each.first.job);
            return step == nullptr || job->is_final() || step->waiting == 0;
        });
    for (const candidate& step : waiting)
    {
        const auto kept = held_.find(step.step->id);
        if (kept != held_.end())
        {
            for (const worker_id& worker : kept->second)
            {
                work.hold(worker, step);
            }
        }
    }
    for (candidate& step : waiting)
    {
        place_step(work, step);
    }
    return std::move(work.decided);
}

void planner::place_step(round& now, candidate& step)
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
            place_gang(now, step);
        }
        return;
    }
    place_tasks(now, step);
    if (step.step->waiting > 0 && step.advised() && !step.at_cap)
    {
        ask_for_tasks(now, step);
    }
}

bool planner::below_worker_limit(
    const candidate& step, const worker_entry& worker)
{
    if (step.spec->max_per_worker == 0)
    {
        return true;
    }
    const auto at = step.on_worker.find(worker.about.id);
    return at == step.on_worker.end() || at->second < step.spec->max_per_worker;
}

bool planner::may_run(
    const round& now,
    const candidate& step,
    const worker_entry& worker,
    bool need_permit) const
{
    if (!step.spec->required_label.empty() &&
        !worker.has_label(step.spec->required_label))
    {
        return false;
    }
    const auto held = now.held.find(worker.about.id);
    if (held != now.held.end() && held->second.step != step.step->id &&
        held->second.rank <= step.rank())
    {
        return false;
    }
    if (!below_worker_limit(step, worker))
    {
        return false;
    }
    if (!step.advised() || !need_permit)
    {
        return true;
    }
    const auto& allowed = step.step->permits.allowed;
    const auto at = allowed.find(worker.about.id);
    return at != allowed.end() &&
           at->second.until > now.now + settings_.permit_expiry_margin &&
           at->second.incarnation == worker.about.incarnation;
}

std::vector<worker_entry*>
planner::permitted_workers(round& now, const candidate& step) const
{
    std::vector<worker_entry*> found;
    if (step.advised() && step.step->permits.allowed.empty())
    {
        return found;
    }
    const auto usable = now.usable.find(step.queue->service);
    if (usable == now.usable.end())
    {
        return found;
    }
    for (worker_entry* worker : usable->second)
    {
        if (step.room.fits_in(worker->room()) &&
            may_run(now, step, *worker, true))
        {
            found.push_back(worker);
        }
    }
    return found;
}

double planner::score(
    const candidate& step, const task_entry& task, const worker_entry& worker)
{
    double score =
        free_fraction(worker.room() - step.room, worker.about.capacity);
    if (!step.spec->data_rack.empty() &&
        step.spec->data_rack != worker.about.rack.str())
    {
        score += remote_data_penalty;
    }
    if (task.failed_last && task.worker == worker.about.id)
    {
        score += repeated_failure_penalty;
    }
    return score;
}

void planner::place_tasks(round& now, candidate& step)
{
    const account_settings* account = now.config.find(step.job->job.account);
    const std::vector<worker_entry*> choice = permitted_workers(now, step);
    for (std::uint32_t index = 0; index < step.step->tasks.size(); ++index)
    {
        const task_entry& task = step.step->tasks[index];
        if (task.state != task_entry::phase::waiting)
        {
            continue;
        }
        if (account != nullptr &&
            !within_cap(
                now.workers.used_by(account->name) + step.room, account->cap))
        {
            step.at_cap = true;
            return;
        }
        worker_entry* best = nullptr;
        double best_score = std::numeric_limits<double>::max();
        for (worker_entry* worker : choice)
        {
            if (!step.room.fits_in(worker->room()) ||
                !below_worker_limit(step, *worker) ||
                worker->runs.contains({step.step->id, index}))
            {
                continue;
            }
            const double here = score(step, task, *worker);
            if (here < best_score)
            {
                best_score = here;
                best = worker;
            }
        }
        if (best == nullptr)
        {
            return;
        }
        start(now, step, index, now.jobs.next_run(*step.job), *best);
        ++step.on_worker[best->about.id];
    }
}

void planner::start(
    round& now,
    candidate& step,
    std::uint32_t index,
    run_number run,
    worker_entry& worker)
{
    const task_entry& task = step.step->tasks[index];
    start_decision decision;
    decision.task = {step.step->id, index};
    decision.run = run;
    decision.worker = worker.about.id;
    decision.checkpoint = task.checkpoint;
    if (step.advised())
    {
        decision.ticket = step.step->permits.allowed[worker.about.id].ticket;
    }
    run_entry entry;
    entry.task = decision.task;
    entry.run = run;
    entry.needs = step.room;
    entry.account = step.job->job.account;
    entry.checkpoint = task.checkpoint;
    entry.started = now.now;
    now.workers.add_run(worker, std::move(entry));
    now.jobs.begin_run(*step.step, index, run, worker.about.id);
    now.decided.starts.push_back(std::move(decision));
}

std::vector<worker_entry*> planner::fit_gang(
    round& now, candidate& step, bool need_permits, const std::string& rack)
{
    const auto usable = now.usable.find(step.queue->service);
    if (usable == now.usable.end())
    {
        return {};
    }
    std::vector<worker_entry*> fitting;
    for (worker_entry* worker : usable->second)
    {
        if ((rack.empty() || worker->about.rack.str() == rack) &&
            step.room.fits_in(worker->room()) &&
            (need_permits ||
             step.step->permits.allowed.contains(worker->about.id) ||
             !step.advised()) &&
            may_run(now, step, *worker, need_permits))
        {
            fitting.push_back(worker);
        }
    }
    std::stable_sort(
        fitting.begin(),
        fitting.end(),
        [](const worker_entry* left, const worker_entry* right)
        {
            return free_fraction(left->room(), left->about.capacity) <
                   free_fraction(right->room(), right->about.capacity);
        });
    std::vector<worker_entry*> places;
    for (worker_entry* worker : fitting)
    {
        const auto here = static_cast<std::size_t>(
            members_that_fit(worker->room(), *step.spec, step.room));
        places.insert(
            places.end(),
            std::min(here, step.step->tasks.size() - places.size()),
            worker);
    }
    return places.size() == step.step->tasks.size()
               ? places
               : std::vector<worker_entry*>{};
}

bool planner::place_gang(round& now, candidate& step)
{
    const account_settings* account = now.config.find(step.job->job.account);
    const auto count = static_cast<std::int64_t>(step.step->tasks.size());
    if (account != nullptr &&
        !within_cap(
            now.workers.used_by(account->name) + step.room * count,
            account->cap))
    {
        return false;
    }
    std::vector<worker_entry*> places;
    if (step.spec->one_rack)
    {
        std::set<std::string> racks;
        for (worker_entry* worker : now.usable[step.queue->service])
        {
            racks.insert(worker->about.rack.str());
        }
        for (const std::string& rack : racks)
        {
            places = fit_gang(now, step, true, rack);
            if (!places.empty())
            {
                break;
            }
        }
    }
    if (places.empty())
    {
        places = fit_gang(now, step, true, {});
    }
    if (!places.empty())
    {
        const run_number run = now.jobs.next_run(*step.job);
        for (std::uint32_t index = 0; index < places.size(); ++index)
        {
            start(now, step, index, run, *places[index]);
        }
        held_.erase(step.step->id);
        return true;
    }
    const std::vector<worker_entry*> possible = fit_gang(now, step, false, {});
    if (possible.empty())
    {
        reserve_workers(now, step);
    }
    else
    {
        std::set<worker_id>& kept = held_[step.step->id];
        kept.clear();
        for (worker_entry* worker : possible)
        {
            kept.insert(worker->about.id);
            now.hold(worker->about.id, step);
        }
    }
    if (step.advised())
    {
        ask_for_gang(now, step, possible);
    }
    return false;
}

void planner::reserve_workers(round& now, candidate& step)
{
    const bool known = !step.advised() || !step.step->permits.allowed.empty();
    if (!known || step.chance != urgency_class::in_time ||
        held_.contains(step.step->id) ||
        held_.size() >= settings_.max_reserving_gangs)
    {
        return;
    }
    std::vector<worker_entry*> choice;
    for (worker_entry* worker : now.usable[step.queue->service])
    {
        if (may_run(now, step, *worker, false) &&
            !now.held.contains(worker->about.id) &&
            (!step.advised() ||
             step.step->permits.allowed.contains(worker->about.id)))
        {
            choice.push_back(worker);
        }
    }
    std::stable_sort(
        choice.begin(),
        choice.end(),
        [](const worker_entry* left, const worker_entry* right)
        {
            return free_fraction(left->room(), left->about.capacity) >
                   free_fraction(right->room(), right->about.capacity);
        });
    std::size_t places = 0;
    std::set<worker_id> kept;
    for (worker_entry* worker : choice)
    {
        if (places >= step.step->tasks.size())
        {
            break;
        }
        for (resources left = worker->about.capacity; step.room.fits_in(left);
             left -= step.room)
        {
            ++places;
        }
        kept.insert(worker->about.id);
    }
    if (places < step.step->tasks.size())
    {
        return; // Holding workers would not let it fit.
    }
    for (const worker_id& worker : kept)
    {
        now.hold(worker, step);
    }
    held_[step.step->id] = std::move(kept);
}

void planner::ask_for_tasks(round& now, candidate& step)
{
    step_permits& permits = step.step->permits;
    if (permits.asking || now.now < permits.retry_not_before)
    {
        return;
    }
    const double share = allowed_share_of(step.queue->name);
    std::vector<worker_id> named;
    double places = 0;
    const double wanted = step.step->waiting;
    auto consider = [&](bool known)
    {
        for (worker_entry* worker : now.usable[step.queue->service])
        {
            if (places >= wanted ||
                named.size() >= settings_.max_workers_per_request)
            {
                return;
            }
            const worker_id& id = worker->about.id;
            if (!step.room.fits_in(worker->room()) ||
                permits.allowed.contains(id) != known ||
                permits.denied.contains(id) ||
                !may_run(now, step, *worker, false))
            {
                continue;
            }
            named.push_back(id);
            places += known ? 1.0 : share * settings_.expected_permit_factor;
        }
    };
    consider(true);
    consider(false);
    if (places < wanted && step.chance == urgency_class::in_time &&
        permits.allowed.empty() && permits.denied.empty())
    {
        add_busy_workers(now, step, named);
    }
    ask(now, step, std::move(named));
}

void planner::add_busy_workers(
    round& now, const candidate& step, std::vector<worker_id>& named) const
{
    const policy_timing& terms = *step.queue->advice;
    const double affordable =
        terms.per_worker.count() <= 0
            ? static_cast<double>(settings_.max_workers_per_request)
            : settings_.busy_workers_time_share *
                  (terms.base / terms.per_worker);
    const auto most = std::min(
        settings_.max_workers_per_request,
        static_cast<std::size_t>(std::max(0.0, affordable)));
    for (worker_entry* worker : now.usable[step.queue->service])
    {
        if (named.size() >= most)
        {
            return;
        }
        if (!step.room.fits_in(worker->room()) &&
            step.room.fits_in(worker->about.capacity) &&
            may_run(now, step, *worker, false))
        {
            named.push_back(worker->about.id);
        }
    }
}

void planner::ask_for_gang(
    round& now, candidate& step, const std::vector<worker_entry*>& places)
{
    step_permits& permits = step.step->permits;
    if (permits.asking || now.now < permits.retry_not_before)
    {
        return;
    }
    std::vector<worker_id> named;
    if (!places.empty())
    {
        for (worker_entry* worker : places)
        {
            if (named.empty() || named.back() != worker->about.id)
            {
                named.push_back(worker->about.id);
            }
        }
        ask(now, step, std::move(named));
        return;
    }
    ask(now, step, gang_candidates(now, step));
}

std::vector<worker_id>
planner::gang_candidates(round& now, const candidate& step)
{
    struct unknown
    {
        const worker_entry* worker;
        std::int64_t places; ///< For members now.
        std::int64_t most;   ///< For members where nothing else runs.
    };
    const step_permits& permits = step.step->permits;
    std::vector<unknown> choice;
    for (const worker_entry* worker : now.usable[step.queue->service])
    {
        const worker_id& id = worker->about.id;
        const std::int64_t most =
            members_that_fit(worker->about.capacity, *step.spec, step.room);
        if (most > 0 && !permits.allowed.contains(id) &&
            !permits.denied.contains(id) && may_run(now, step, *worker, false))
        {
            choice.push_back(
                {worker,
                 members_that_fit(worker->room(), *step.spec, step.room),
                 most});
        }
    }
    std::stable_sort(
        choice.begin(),
        choice.end(),
        [](const unknown& left, const unknown& right)
        {
            return std::pair(left.places, left.most) >
                   std::pair(right.places, right.most);
        });
    const double share = allowed_share_of(step.queue->name);
    const double wanted = settings_.gang_candidate_factor *
                          static_cast<double>(step.step->tasks.size());
    double expected = 0;
    std::vector<worker_id> named;
    for (const unknown& each : choice)
    {
        if (named.size() >= settings_.max_workers_per_request ||
            expected >= wanted)
        {
            break;
        }
        named.push_back(each.worker->about.id);
        expected += share * static_cast<double>(each.places);
    }
    return named;
}

void planner::ask(round& now, candidate& step, std::vector<worker_id> workers)
{
    if (workers.empty())
    {
        return;
    }
    const auto expected = std::chrono::ceil<milliseconds>(
        step.queue->advice->base +
        step.queue->advice->per_worker * static_cast<double>(workers.size()));
    std::size_t& left = expected > now.questions.longest_short_request
                            ? now.questions.long_requests
                            : now.questions.short_requests;
    if (left == 0)
    {
        return; // Asked in a later round, if it is still worth it.
    }
    --left;
    step.step->permits.asking = true;
    now.decided.permit_requests.push_back(
        {step.step->id,
         std::move(workers),
         static_cast<std::uint32_t>(step.chance) * priorities +
             std::min(step.queue->priority, priorities - 1),
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
    step_entry* entry = jobs.find(step);
    if (entry == nullptr)
    {
        return;
    }
    step_permits& known = entry->permits;
    known.asking = false;
    std::size_t news = 0;
    for (const worker_id& worker : asked)
    {
        news += known.allowed.contains(worker) ? 0 : 1;
        known.denied.insert(worker);
    }
    std::size_t granted = 0;
    for (const permits::permit& permit : answer.allowed)
    {
        granted += known.allowed.contains(permit.worker) ? 0 : 1;
        known.denied.erase(permit.worker);
        const worker_entry* worker = workers.find(permit.worker);
        known.allowed[permit.worker] = {
            permit.ticket,
            usable_until,
            worker == nullptr ? 0 : worker->about.incarnation};
    }
    if (news > 0)
    {
        double& share = allowed_share_of(jobs.find(step.job)->job.queue);
        const double seen =
            static_cast<double>(granted) / static_cast<double>(news);
        share += settings_.allowed_share_smoothing * (seen - share);
    }
}

void planner::note_no_answer(
    job_tracker& jobs, const step_id& step, instant retry_not_before)
{
    if (step_entry* entry = jobs.find(step))
    {
        entry->permits.asking = false;
        entry->permits.retry_not_before = retry_not_before;
    }
}

} // namespace acaciastile::fleet
