#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

namespace acaciastile::fleet
{

void fleet_owner::stop_run(
    worker_entry& worker, run_entry& run, std::string_view reason)
{
    if (run.state == run_entry::phase::stopping)
    {
        return;
    }
    run.state = run_entry::phase::stopping;
    report_stop(worker, {run.task, run.run}, reason);
    send_stop(worker.registration.id, run.task, run.run);
}

void fleet_owner::report_stop(
    const worker_entry& worker, const run_ref& run, std::string_view reason)
{
    ports_.events.emit(
        {event_number::run_stopped,
         {{"task", text_of(run.task)},
          {"run", std::to_string(run.run)},
          {"worker", worker.registration.id.str()},
          {"reason", std::string(reason)}}});
}

void fleet_owner::send_stop(
    const worker_id& id, const task_ref& task, run_number number)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    const std::uint64_t token = token_of(*worker);
    ports_.orders.stop(
        worker->address(),
        token,
        task,
        number,
        guarded(
            [id,
             task,
             number,
             token,
             incarnation = worker->registration.incarnation](
                fleet_owner& self, const result<worker_instant>& answer) {
                self.on_stop_answer(
                    id, incarnation, token, {task, number}, answer);
            }));
}

void fleet_owner::on_stop_answer(
    const worker_id& id,
    std::uint64_t incarnation,
    std::uint64_t token,
    const run_ref& run,
    const result<worker_instant>& answer)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    // A token that was raised meanwhile is in the next order.
    if (!answer && answer.error().code == refusal_code::stale_epoch &&
        token >= token_of(*worker))
    {
        ports_.step_down(
            "worker " + id.str() + " rejected a stop with a stale token");
        return;
    }
    if (incarnation != worker->registration.incarnation)
    {
        return; // The present incarnation was sent its own stop orders.
    }
    const instant now = ports_.clock.now();
    const auto at = worker->runs.find(run);
    if (answer)
    {
        unsettled_orders_.note_barred(id, run, incarnation);
        if (at != worker->runs.end())
        {
            at->second.stop_answered = now;
            worker->next_hold = {};
            schedule_poll(*worker);
        }
        schedule_round();
        return;
    }
    if (at == worker->runs.end() && !unsettled_orders_.contains(id, run, now))
    {
        return; // The worker has reported the end of the run.
    }
    ports_.clock.after(
        settings_.worker_retry_delay,
        guarded([id, run](fleet_owner& self)
                { self.send_stop(id, run.task, run.run); }));
}

void fleet_owner::stop_job(const job_entry& job, std::string_view reason)
{
    for (const auto& steps : job.occurrences)
    {
        for (const step_entry& step : steps)
        {
            stop_step(step.id, reason);
        }
    }
}

void fleet_owner::stop_step(const step_id& id, std::string_view reason)
{
    step_entry* step = jobs_.find(id);
    if (step == nullptr)
    {
        return;
    }
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index)
    {
        constexpr run_number no_run = 0;
        stop_other_runs({id, index}, no_run, reason);
    }
}

void fleet_owner::stop_leftover_runs(const task_ref& done, run_number run)
{
    const job_entry* job = jobs_.find(done.step.job);
    const step_spec& spec = job->spec(done.step);
    constexpr std::string_view reason = "the task is done";
    if (!spec.gang)
    {
        stop_other_runs(done, run, reason);
        return;
    }
    for (std::uint32_t index = 0; index < spec.count; ++index)
    {
        stop_other_runs({done.step, index}, run, reason);
    }
}

void fleet_owner::stop_other_runs(
    const task_ref& task, run_number except, std::string_view reason)
{
    const task_entry* entry = jobs_.find(task);
    if (entry == nullptr)
    {
        return;
    }
    for (const task_run& live : entry->live_runs)
    {
        worker_entry* worker = workers_.find(live.worker);
        if (live.run == except || worker == nullptr)
        {
            continue;
        }
        const auto at = worker->runs.find({task, live.run});
        if (at != worker->runs.end())
        {
            stop_run(*worker, at->second, reason);
        }
    }
}

} // namespace acaciastile::fleet
