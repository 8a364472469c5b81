#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <algorithm>
#include <array>

namespace acaciastile::fleet
{

void fleet_owner::apply_end(worker_entry& worker, const ended_run& ended)
{
    jobs_.confirm_start(ended.task.step.job, start_evidence::end);
    unsettled_orders_.note_barred(
        worker.registration.id,
        {ended.task, ended.run},
        worker.registration.incarnation);
    end_run(worker, ended.task, ended.run, ended.how, ended.checkpoint);
    if (ended.how == run_end::done)
    {
        workers_.note_success(worker);
    }
    if (ended.how == run_end::failed &&
        workers_.note_failure(worker, ports_.clock.now()))
    {
        ports_.events.emit(
            {event_number::worker_quarantined,
             {{"worker", worker.registration.id.str()},
              {"failures", std::to_string(worker.failures_in_row)}}});
    }
}

void fleet_owner::end_run(
    worker_entry& worker,
    const task_ref& task,
    run_number run,
    run_end how,
    const std::string& checkpoint)
{
    constexpr std::array<const char*, 6> names{
        "done", "failed", "stopped", "lapsed", "gang_broken", "gang_alone"};
    const auto started = worker.runs.find({task, run});
    if (how == run_end::done && started != worker.runs.end())
    {
        // The steps of an ended job are not known if its request was deleted.
        if (const job_entry* job = jobs_.find(task.step.job);
            job != nullptr && task.step.step < job->job.request.steps.size())
        {
            const step_spec& spec = job->spec(task.step);
            const bool near_data =
                spec.data_rack.empty() ||
                spec.data_rack == worker.registration.rack.str();
            planner_.note_run_time(
                job->job.queue,
                job->job.id,
                worker.handle,
                ports_.clock.now() - started->second.started,
                near_data && !spec.gang && !spec.long_running &&
                    started->second.is_timed);
        }
    }
    workers_.remove_run(worker, task, run);
    noted_runs_.remove({task, run});
    const end_effect effect = jobs_.record_end(
        task,
        run,
        how,
        checkpoint,
        allowed_attempts(task.step.job),
        ports_.clock.wall());
    ports_.metrics.count("fleet_ends", names[static_cast<std::size_t>(how)], 1);
    ports_.events.emit(
        {event_number::run_ended,
         {{"task", text_of(task)},
          {"run", std::to_string(run)},
          {"worker", worker.registration.id.str()},
          {"how", names[static_cast<std::size_t>(how)]},
          {"effect", std::to_string(static_cast<int>(effect))}}});
    if (effect == end_effect::task_done)
    {
        stop_leftover_runs(task, run);
    }
    if (effect == end_effect::job_failed)
    {
        stop_job(*jobs_.find(task.step.job), "the job has failed");
    }
}

std::uint32_t fleet_owner::allowed_attempts(const job_id& id)
{
    const job_entry* job = jobs_.find(id);
    if (job == nullptr)
    {
        return 1;
    }
    const queue_settings& queue =
        effective_queue_settings(ports_.config(), job->job);
    return std::max<std::uint32_t>(1, queue.attempts);
}

void fleet_owner::end_lost_runs(
    worker_entry& worker, const std::set<run_ref>& kept, presumed_end reason)
{
    std::vector<run_ref> lost;
    for (const auto& [id, run] : worker.runs)
    {
        if (!kept.contains(id))
        {
            lost.push_back(id);
        }
    }
    const std::string_view text = reason == presumed_end::worker_restarted
                                      ? "the worker restarted"
                                  : reason == presumed_end::worker_replaced
                                      ? "another worker answers at its address"
                                      : "the worker's lease has expired";
    for (const auto& [task, run] : lost)
    {
        presumed_ends_.add({task, run}, reason, ports_.clock.now());
        ports_.events.emit(
            {event_number::run_lost,
             {{"task", text_of(task)},
              {"run", std::to_string(run)},
              {"worker", worker.registration.id.str()},
              {"reason", std::string(text)}}});
        if (reason == presumed_end::lease_expired)
        {
            unsettled_orders_.note_lease_expired(
                worker.registration.id,
                {task, run},
                worker.registration.incarnation);
        }
        end_run(worker, task, run, run_end::lapsed, {});
    }
}

void fleet_owner::expire_leases()
{
    const instant now = ports_.clock.now();
    if (!unread_jobs_.empty() &&
        now >= inherited_leases_end_ + unread_job_timeout)
    {
        for (const auto& [id, listed_by] : unread_jobs_)
        {
            if (job_entry* job = jobs_.find(id))
            {
                job->has_unreconciled_runs = false;
            }
        }
        unread_jobs_.clear();
    }
    for (worker_entry* worker : workers_.out_of_sight())
    {
        // A worker without a lease from this owner has one of an earlier owner.
        const instant expired_at = std::max(
            worker->foreign_lease_expired_at,
            worker->lease_expired_at == instant::max()
                ? inherited_leases_end_
                : worker->lease_expired_at);
        if (!worker->reachable && !worker->runs.empty() && expired_at <= now)
        {
            worker->lost_runs_at = ports_.clock.now_with_suspends();
            keep_blame(*worker);
            end_lost_runs(*worker, {}, presumed_end::lease_expired);
        }
    }
}

} // namespace acaciastile::fleet
