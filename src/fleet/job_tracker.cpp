#include "fleet/job_tracker.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// Run numbers reserved for each job under one owner.
constexpr run_number runs_per_owner = 100'000;

} // namespace

std::string_view name_of(start_evidence evidence) noexcept
{
    constexpr std::array<std::string_view, start_evidence_kinds> names{
        "none", "answer", "status", "end", "absence", "stored"};
    return names[static_cast<std::size_t>(evidence)];
}

job_entry* job_tracker::add(accepted_job job, bool inherited, instant now)
{
    auto& entry = jobs_[job.id];
    if (entry != nullptr)
    {
        return nullptr;
    }
    entry = std::make_unique<job_entry>();
    entry->job = std::move(job);
    entry->known_since = now;
    entry->inherited = inherited;
    entry->next_run = token_ * runs_per_owner + 1;
    entry->queue_index = queues_.index_of(entry->job.queue);
    entry->account_index = accounts_.index_of(entry->job.account);
    entry->open_position = open_.size();
    open_.push_back(entry.get());
    ++counts_of(*entry)[static_cast<std::size_t>(start_evidence::none)];
    if (entry->job.request.occurrences == 0)
    {
        open_occurrence(*entry, now);
    }
    else
    {
        recurring_.push_back(entry.get());
    }
    if (const auto early = early_progress_.find(entry->job.id);
        early != early_progress_.end())
    {
        entry->inherited = true;
        apply_progress(*entry, early->second);
        early_progress_.erase(early);
    }
    return entry.get();
}

void job_tracker::open_occurrence(job_entry& job, instant now)
{
    const auto number = static_cast<std::uint32_t>(job.occurrences.size());
    auto& steps = job.occurrences.emplace_back();
    steps.resize(job.job.request.steps.size());
    for (std::uint32_t at = 0; at < steps.size(); ++at)
    {
        steps[at].id = {job.job.id, number, at};
        steps[at].tasks.resize(job.job.request.steps[at].count);
        steps[at].waiting = job.job.request.steps[at].count;
        steps[at].opened = now;
    }
}

void job_tracker::open_occurrences(job_entry& job, std::size_t count)
{
    while (job.occurrences.size() < count &&
           job.occurrences.size() < job.occurrence_count())
    {
        open_occurrence(job, job.known_since);
    }
}

void job_tracker::open_reported_occurrence(const step_id& step)
{
    if (job_entry* job = find(step.job); job != nullptr && !job->is_final())
    {
        open_occurrences(*job, std::size_t{step.occurrence} + 1);
    }
}

wall_time job_tracker::open_due_occurrences(wall_time wall, instant now)
{
    wall_time next = wall_time::max();
    for (job_entry* job : recurring_)
    {
        const job_request& request = job->job.request;
        while (job->occurrences.size() < request.occurrences)
        {
            const wall_time due =
                request.first_due +
                request.interval *
                    static_cast<milliseconds::rep>(job->occurrences.size());
            if (due > wall)
            {
                next = std::min(next, due);
                break;
            }
            open_occurrence(*job, now);
        }
    }
    std::erase_if(
        recurring_,
        [](const job_entry* job)
        { return job->occurrences.size() >= job->job.request.occurrences; });
    return next;
}

void job_tracker::restore(
    const job_id& id, const job_progress& progress, instant end_known_since)
{
    job_entry* job = find(id);
    if (job == nullptr && !is_final(progress.state))
    {
        early_progress_[id] = progress;
        return;
    }
    if (job != nullptr)
    {
        apply_progress(*job, progress);
    }
    else
    {
        job = &add_ended(id, progress);
    }
    if (job->is_final())
    {
        job->end_known_since = end_known_since;
    }
}

void job_tracker::apply_progress(job_entry& job, const job_progress& progress)
{
    open_occurrences(job, progress.steps.size());
    for (std::size_t k = 0; k < progress.steps.size(); ++k)
    {
        for (std::size_t s = 0;
             s < progress.steps[k].size() && s < job.occurrences[k].size();
             ++s)
        {
            const step_progress& stored = progress.steps[k][s];
            step_entry& step = job.occurrences[k][s];
            step.failed_gang_runs = stored.gang_failures;
            for (std::size_t i = 0;
                 i < stored.done.size() && i < step.tasks.size();
                 ++i)
            {
                if (stored.done[i])
                {
                    step.tasks[i].state = task_entry::phase::done;
                    --step.waiting;
                    ++step.done;
                }
            }
            for (const auto& [index, runs] : stored.failures)
            {
                if (index < step.tasks.size())
                {
                    step.tasks[index].failed_runs = runs;
                }
            }
            for (const auto& [index, counted] : stored.crashes)
            {
                for (const crash_record::crash& each : counted)
                {
                    if (index < step.tasks.size())
                    {
                        step.tasks[index].crashes.add(each.run, each.blame);
                    }
                }
            }
        }
    }
    job.state = progress.state;
    job.reported_state = progress.state;
    set_evidence(
        job,
        progress.state == job_state::queued ? start_evidence::none
                                            : start_evidence::stored);
    job.ended = progress.ended;
    job.excess = progress.excess;
    if (job.is_final())
    {
        close(job);
    }
}

job_entry&
job_tracker::add_ended(const job_id& id, const job_progress& progress)
{
    auto entry = std::make_unique<job_entry>();
    entry->job.id = id;
    entry->state = progress.state;
    entry->reported_state = progress.state;
    entry->ended = progress.ended;
    return *jobs_.emplace(id, std::move(entry)).first->second;
}

job_entry* job_tracker::find(const job_id& id)
{
    const auto at = jobs_.find(id);
    return at == jobs_.end() ? nullptr : at->second.get();
}

step_entry* job_tracker::find(const step_id& id)
{
    job_entry* job = find(id.job);
    if (job == nullptr || id.occurrence >= job->occurrences.size() ||
        id.step >= job->occurrences[id.occurrence].size())
    {
        return nullptr;
    }
    return &job->occurrences[id.occurrence][id.step];
}

task_entry* job_tracker::find(const task_ref& task)
{
    step_entry* step = find(task.step);
    return step == nullptr || task.index >= step->tasks.size()
               ? nullptr
               : &step->tasks[task.index];
}

bool job_tracker::is_ready(const job_entry& job, const step_entry& step) const
{
    const auto& steps = job.occurrences[step.id.occurrence];
    for (const std::uint32_t before : job.spec(step.id).after)
    {
        if (steps[before].done < steps[before].tasks.size())
        {
            return false;
        }
    }
    return true;
}

run_number job_tracker::next_run(job_entry& job)
{
    return job.next_run++;
}

void job_tracker::begin_run(
    step_entry& step,
    std::uint32_t index,
    run_number run,
    const worker_id& worker)
{
    add_live_run(step, step.tasks[index], {run, worker});
}

void job_tracker::confirm_start(const job_id& id, start_evidence evidence)
{
    job_entry* job = find(id);
    if (job != nullptr && job->state == job_state::queued &&
        evidence != start_evidence::none)
    {
        set_evidence(*job, evidence);
        job->state = job_state::running;
        job->reported_state = job_state::running;
    }
}

adoption job_tracker::adopt_run(
    const task_ref& task,
    run_number run,
    const worker_id& worker,
    const std::string& checkpoint,
    start_evidence evidence)
{
    open_reported_occurrence(task.step);
    job_entry* job = find(task.step.job);
    step_entry* step = find(task.step);
    task_entry* entry = find(task);
    if (job == nullptr || entry == nullptr)
    {
        return adoption::unknown_task;
    }
    if (job->is_final())
    {
        return adoption::job_ended;
    }
    if (entry->state == task_entry::phase::done)
    {
        return adoption::task_done;
    }
    begin_run(*step, task.index, run, worker);
    confirm_start(task.step.job, evidence);
    if (entry->run != run)
    {
        return adoption::superseded;
    }
    entry->checkpoint = checkpoint;
    return adoption::adopted;
}

void job_tracker::add_live_run(step_entry& step, task_entry& task, task_run run)
{
    if (task.state == task_entry::phase::waiting)
    {
        task.state = task_entry::phase::active;
        --step.waiting;
        ++step.active;
    }
    // A later run started only after the earlier ones had ended, so an earlier
    // one that is reported too has ended or is about to be stopped.
    if (task.live_runs.empty() || run.run > task.run)
    {
        task.run = run.run;
        task.worker = run.worker;
    }
    task.live_runs.push_back(std::move(run));
}

bool job_tracker::remove_live_run(
    step_entry& step, task_entry& task, run_number run)
{
    const auto removed = std::erase_if(
        task.live_runs, [&](const task_run& each) { return each.run == run; });
    if (removed == 0)
    {
        return false;
    }
    if (task.live_runs.empty())
    {
        if (task.state == task_entry::phase::active)
        {
            task.state = task_entry::phase::waiting;
            --step.active;
            ++step.waiting;
        }
        return true;
    }
    const auto latest = std::max_element(
        task.live_runs.begin(),
        task.live_runs.end(),
        [](const task_run& left, const task_run& right)
        { return left.run < right.run; });
    task.run = latest->run;
    task.worker = latest->worker;
    return true;
}

bool job_tracker::has_failed(const task_ref& task, run_number run)
{
    const task_entry* entry = find(task);
    return entry != nullptr &&
           std::find(
               entry->failed_runs.begin(), entry->failed_runs.end(), run) !=
               entry->failed_runs.end();
}

void job_tracker::undo_run(const task_ref& task, run_number run)
{
    if (task_entry* entry = find(task))
    {
        remove_live_run(*find(task.step), *entry, run);
    }
}

end_effect job_tracker::record_end(
    const task_ref& task,
    run_number run,
    run_end how,
    const std::string& checkpoint,
    std::uint32_t attempts,
    wall_time wall)
{
    open_reported_occurrence(task.step);
    job_entry* job = find(task.step.job);
    task_entry* entry = find(task);
    if (job == nullptr || entry == nullptr)
    {
        return end_effect::unknown_task;
    }
    step_entry& step = *find(task.step);
    const bool current =
        entry->state == task_entry::phase::active && entry->run == run;
    if (current && !checkpoint.empty())
    {
        entry->checkpoint = checkpoint;
    }
    remove_live_run(step, *entry, run);
    const bool long_running = job->spec(task.step).long_running;
    if (how == run_end::done && !long_running)
    {
        if (entry->state == task_entry::phase::done || job->is_final())
        {
            return end_effect::out_of_date;
        }
        if (job->spec(task.step).gang)
        {
            finish_gang(*job, step, wall);
        }
        else
        {
            finish_task(*job, step, *entry, wall);
        }
        return end_effect::task_done;
    }
    if (how == run_end::failed && !long_running && !job->is_final() &&
        entry->state != task_entry::phase::done)
    {
        return fail_task(*job, step, *entry, run, attempts, wall);
    }
    if (!current || job->is_final())
    {
        return end_effect::out_of_date;
    }
    entry->failed_last = how == run_end::failed;
    return end_effect::task_requeued;
}

end_effect job_tracker::record_crash(
    const task_ref& task, run_number run, crash_blame blame, wall_time wall)
{
    open_reported_occurrence(task.step);
    job_entry* job = find(task.step.job);
    task_entry* entry = find(task);
    if (job == nullptr || entry == nullptr)
    {
        return end_effect::unknown_task;
    }
    if (job->is_final() || entry->state == task_entry::phase::done ||
        !entry->crashes.add(run, blame))
    {
        return end_effect::out_of_date;
    }
    mark_changed(*job);
    if (!entry->crashes.is_convicted())
    {
        return end_effect::task_requeued;
    }
    finish(*job, job_state::failed, wall);
    return end_effect::job_failed;
}

end_effect job_tracker::fail_task(
    job_entry& job,
    step_entry& step,
    task_entry& task,
    run_number run,
    std::uint32_t attempts,
    wall_time wall)
{
    task.failed_last = true;
    auto& failed_runs =
        job.spec(step.id).gang ? step.failed_gang_runs : task.failed_runs;
    if (std::find(failed_runs.begin(), failed_runs.end(), run) !=
        failed_runs.end())
    {
        // Already counted: another member of the gang has reported this
        // failure, or a previous owner has recorded it.
        return end_effect::task_requeued;
    }
    failed_runs.push_back(run);
    mark_changed(job);
    if (failed_runs.size() < attempts)
    {
        return end_effect::task_requeued;
    }
    finish(job, job_state::failed, wall);
    return end_effect::job_failed;
}

void job_tracker::finish_task(
    job_entry& job, step_entry& step, task_entry& task, wall_time wall)
{
    if (task.state == task_entry::phase::active)
    {
        --step.active;
    }
    else
    {
        --step.waiting;
    }
    task.state = task_entry::phase::done;
    task.checkpoint.clear();
    ++step.done;
    mark_changed(job);
    if (step.done < step.tasks.size())
    {
        return;
    }
    for (step_entry& each : job.occurrences[step.id.occurrence])
    {
        each.limits_valid_until = {}; // Less work remains than was counted.
    }
    bool all_done = job.occurrences.size() == job.occurrence_count();
    for (const auto& steps : job.occurrences)
    {
        for (const step_entry& each : steps)
        {
            all_done = all_done && each.done == each.tasks.size();
        }
    }
    if (all_done)
    {
        finish(job, job_state::completed, wall);
    }
}

void job_tracker::finish_gang(job_entry& job, step_entry& step, wall_time wall)
{
    for (task_entry& each : step.tasks)
    {
        if (each.state != task_entry::phase::done)
        {
            finish_task(job, step, each, wall);
        }
    }
}

void job_tracker::finish(job_entry& job, job_state state, wall_time wall)
{
    if (job.is_final())
    {
        return;
    }
    job.state = state;
    job.ended = wall;
    mark_changed(job);
    close(job);
}

bool job_tracker::is_open(const job_entry& job) const
{
    return job.open_position < open_.size() && open_[job.open_position] == &job;
}

void job_tracker::close(job_entry& job)
{
    if (!is_open(job))
    {
        return;
    }
    --counts_of(job)[static_cast<std::size_t>(job.started_by)];
    open_[job.open_position] = open_.back();
    open_[job.open_position]->open_position = job.open_position;
    open_.pop_back();
    std::erase(recurring_, &job);
}

bool job_tracker::cancel(const job_id& id, wall_time wall)
{
    job_entry* job = find(id);
    if (job == nullptr)
    {
        return false;
    }
    finish(*job, job_state::cancelled, wall);
    return true;
}

job_progress job_tracker::progress_of(const job_entry& job) const
{
    job_progress progress;
    progress.state = job.state;
    progress.ended = job.ended;
    progress.excess = job.excess;
    if (job.is_final())
    {
        return progress; // The steps of an ended job are not needed again.
    }
    for (const auto& steps : job.occurrences)
    {
        auto& stored = progress.steps.emplace_back();
        for (const step_entry& step : steps)
        {
            step_progress& each = stored.emplace_back();
            each.gang_failures = step.failed_gang_runs;
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
            {
                each.done.push_back(
                    step.tasks[i].state == task_entry::phase::done);
                if (!step.tasks[i].failed_runs.empty())
                {
                    each.failures.emplace(i, step.tasks[i].failed_runs);
                }
                if (!step.tasks[i].crashes.crashes().empty())
                {
                    each.crashes.emplace(i, step.tasks[i].crashes.crashes());
                }
            }
        }
    }
    return progress;
}

void job_tracker::mark_changed(job_entry& job)
{
    if (!job.changed)
    {
        job.changed = true;
        changed_.push_back(&job);
    }
}

std::vector<job_entry*> job_tracker::take_changed()
{
    std::vector<job_entry*> taken;
    taken.swap(changed_);
    for (job_entry* job : taken)
    {
        job->changed = false;
    }
    return taken;
}

start_counts& job_tracker::counts_of(const job_entry& job)
{
    if (open_counts_.size() <= job.queue_index)
    {
        open_counts_.resize(std::size_t{job.queue_index} + 1);
    }
    return open_counts_[job.queue_index];
}

void job_tracker::set_evidence(job_entry& job, start_evidence evidence)
{
    if (is_open(job))
    {
        start_counts& counts = counts_of(job);
        --counts[static_cast<std::size_t>(job.started_by)];
        ++counts[static_cast<std::size_t>(evidence)];
    }
    job.started_by = evidence;
}

std::size_t job_tracker::pending(const queue_name& queue) const
{
    return starts_in(queue)[static_cast<std::size_t>(start_evidence::none)];
}

start_counts job_tracker::starts_in(const queue_name& queue) const
{
    const auto& names = queue_names();
    const auto known = std::find(names.begin(), names.end(), queue);
    return known == names.end()
               ? start_counts{}
               : open_counts_[static_cast<std::size_t>(known - names.begin())];
}

void job_tracker::note_end_stored(job_entry& job, job_state state, instant now)
{
    job.reported_state = state;
    if (!job.end_known_since)
    {
        job.end_known_since = now;
    }
}

std::vector<job_id> job_tracker::forget_ended(instant before)
{
    std::vector<job_id> forgotten;
    for (const auto& [id, job] : jobs_)
    {
        if (job->end_known_since && *job->end_known_since < before &&
            !job->changed && job->stored_in == 0)
        {
            forgotten.push_back(id);
        }
    }
    for (const job_id& id : forgotten)
    {
        jobs_.erase(id);
    }
    return forgotten;
}

} // namespace acaciastile::fleet
