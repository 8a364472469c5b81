#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <array>

namespace acaciastile::fleet
{

bool fleet_owner::may_be_unread(const job_id& id)
{
    return jobs_.find(id) == nullptr &&
           ports_.clock.now() < inherited_leases_end_ + unread_job_timeout;
}

void fleet_owner::defer_unread_job(worker_entry& worker, const job_id& id)
{
    workers_.unseal(worker);
    unread_jobs_[id].insert(worker.registration.id);
}

void fleet_owner::clear_unread_jobs(const worker_id& worker)
{
    for (auto at = unread_jobs_.begin(); at != unread_jobs_.end();)
    {
        at->second.erase(worker);
        if (!at->second.empty())
        {
            ++at;
            continue;
        }
        if (job_entry* job = jobs_.find(at->first))
        {
            job->has_unreconciled_runs = false;
        }
        at = unread_jobs_.erase(at);
    }
}

bool fleet_owner::apply_running(
    worker_entry& worker, const running_run& running)
{
    const auto at = worker.runs.find({running.task, running.run});
    if (at != worker.runs.end())
    {
        run_entry& run = at->second;
        if (run.listed_in == 0)
        {
            report_late_start(worker, {running.task, running.run});
            jobs_.confirm_start(running.task.step.job, start_evidence::status);
            note_run(worker, run);
        }
        run.begun = true;
        run.listed_in = worker.status_count;
        run.percent = running.percent;
        run.recorded_blame.reset();
        if (!run.alive_at)
        {
            run.alive_at = worker.clock;
            run.alive_noted = ports_.clock.now();
        }
        drop_old_note(run);
        workers_.end_trial(worker, run);
        if (!running.checkpoint.empty())
        {
            run.checkpoint = running.checkpoint;
        }
        if (run.state == run_entry::phase::uncertain)
        {
            run.state = run_entry::phase::running;
            // An order may be carried out long after it was sent, and a report
            // that was requested before may still arrive.
            run.confirmed = ports_.clock.now();
        }
        return false;
    }
    report_late_start(worker, {running.task, running.run});
    report_reappeared(worker, {running.task, running.run});
    const job_entry* job = jobs_.find(running.task.step.job);
    run_entry run;
    run.task = running.task;
    run.run = running.run;
    run.checkpoint = running.checkpoint;
    run.state = run_entry::phase::running;
    run.begun = true;
    run.listed_in = worker.status_count;
    run.started = ports_.clock.now();
    // It has gone on since before this owner knew of it.
    run.alive_at = worker.clock - settings_.workers.crash_after_start;
    if (job != nullptr &&
        running.task.step.step < job->job.request.steps.size())
    {
        run.needs = resources_needed(job->spec(running.task.step));
        run.account = job->job.account;
    }
    else
    {
        run.needs_known = false;
    }
    const adoption outcome = jobs_.adopt_run(
        running.task,
        running.run,
        worker.registration.id,
        running.checkpoint,
        start_evidence::status);
    workers_.add_run(worker, std::move(run));
    if (outcome == adoption::adopted)
    {
        note_run(worker, worker.runs.at({running.task, running.run}));
        stop_other_runs(
            running.task, running.run, "a later run of the task is live");
        return true;
    }
    report_rejected_adoption(worker, running.task, running.run, outcome);
    stop_run(
        worker,
        worker.runs.at({running.task, running.run}),
        "the run was not adopted");
    return false;
}

void fleet_owner::report_late_start(
    const worker_entry& worker, const run_ref& run)
{
    const auto order = unsettled_orders_.late_for(
        worker.registration.id, run, worker.registration.incarnation);
    if (!order)
    {
        return;
    }
    ports_.metrics.count("fleet_late_starts", "", 1);
    ports_.events.emit(
        {event_number::late_start_taken,
         {{"task", text_of(run.task)},
          {"run", std::to_string(run.run)},
          {"worker", worker.registration.id.str()},
          {"order_age_ms", text_of(ports_.clock.now() - order->sent_at)},
          {"sent_to", std::to_string(order->incarnation)},
          {"incarnation", std::to_string(worker.registration.incarnation)}}});
}

void fleet_owner::report_reappeared(
    const worker_entry& worker, const run_ref& run)
{
    const auto presumed = presumed_ends_.take(run);
    if (!presumed)
    {
        return;
    }
    ports_.metrics.count("fleet_runs_reappeared", name_of(presumed->reason), 1);
    ports_.events.emit(
        {event_number::run_reappeared,
         {{"task", text_of(run.task)},
          {"run", std::to_string(run.run)},
          {"worker", worker.registration.id.str()},
          {"presumed", std::string(name_of(presumed->reason))},
          {"age_ms", text_of(ports_.clock.now() - presumed->at)}}});
}

void fleet_owner::report_adopted(
    const worker_entry& worker,
    std::string_view from,
    const run_list_text& runs)
{
    if (runs.count() == 0)
    {
        return;
    }
    ports_.metrics.count(
        "fleet_adoptions", from, static_cast<double>(runs.count()));
    ports_.events.emit(
        {event_number::runs_adopted,
         {{"worker", worker.registration.id.str()},
          {"from", std::string(from)},
          {"runs", runs.str()}}});
}

void fleet_owner::report_rejected_adoption(
    const worker_entry& worker,
    const task_ref& task,
    run_number run,
    adoption outcome)
{
    constexpr std::array<const char*, 5> names{
        "adopted", "unknown_task", "job_ended", "task_done", "superseded"};
    const char* name = names[static_cast<std::size_t>(outcome)];
    const task_entry* entry = jobs_.find(task);
    ports_.metrics.count("fleet_adoptions_rejected", name, 1);
    ports_.events.emit(
        {event_number::adoption_rejected,
         {{"task", text_of(task)},
          {"run", std::to_string(run)},
          {"worker", worker.registration.id.str()},
          {"reason", name},
          {"current", entry == nullptr ? "" : std::to_string(entry->run)},
          {"current_worker", entry == nullptr ? "" : entry->worker.str()}}});
}

} // namespace acaciastile::fleet
