#include "fleet/event_text.hpp"
#include "fleet/owner.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void fleet_owner::count_crash(
    const worker_entry& worker,
    const std::set<run_ref>& kept,
    presumed_end proof)
{
    if (worker.announced_drain)
    {
        return; // It has left.
    }
    const instant now = ports_.clock.now();
    std::vector<blamed_run> blamed = worker.lapsed_runs;
    for (const blamed_run& each : workers_.blame(worker))
    {
        const milliseconds age = now - worker.runs.at(each.run).started;
        if (age < longest_counted_run && !kept.contains(each.run))
        {
            blamed.push_back(each);
        }
    }
    for (const blamed_run& each : blamed)
    {
        count_crash(worker.registration.id, each, name_of(proof));
    }
    for (const run_ref& each : workers_.unproven(worker))
    {
        // Not held against it, but its next run tells more: it goes alone to a
        // worker that has just answered.
        task_entry* task = jobs_.find(each.task);
        if (task == nullptr || kept.contains(each))
        {
            continue;
        }
        task->crashes.suspect();
        ports_.metrics.count("fleet_crashes_unproven", name_of(proof), 1);
        ports_.events.emit(
            {event_number::crash_unproven,
             {{"task", text_of(each.task)},
              {"run", std::to_string(each.run)},
              {"worker", worker.registration.id.str()},
              {"proof", std::string(name_of(proof))}}});
    }
}

void fleet_owner::count_crash(
    const worker_id& worker, const blamed_run& blamed, std::string_view proof)
{
    const auto& [task, number] = blamed.run;
    const end_effect effect =
        jobs_.record_crash(task, number, blamed.blame, ports_.clock.wall());
    if (effect == end_effect::unknown_task && may_be_unread(task.step.job))
    {
        unread_crashes_[task.step.job].push_back({worker, blamed, proof});
        return;
    }
    if (effect == end_effect::out_of_date || effect == end_effect::unknown_task)
    {
        return;
    }
    const std::size_t crashes = jobs_.find(task)->crashes.crashes().size();
    ports_.metrics.count("fleet_crashes_counted", name_of(blamed.blame), 1);
    ports_.events.emit(
        {event_number::crash_counted,
         {{"task", text_of(task)},
          {"run", std::to_string(number)},
          {"worker", worker.str()},
          {"blame", std::string(name_of(blamed.blame))},
          {"proof", std::string(proof)},
          {"crashes", std::to_string(crashes)}}});
    if (effect != end_effect::job_failed)
    {
        return;
    }
    const job_entry& job = *jobs_.find(task.step.job);
    ports_.metrics.count("fleet_jobs_given_up", "", 1);
    ports_.events.emit(
        {event_number::job_given_up,
         {{"job", job.job.id.str()},
          {"task", text_of(task)},
          {"crashes", std::to_string(crashes)},
          {"reason", "the task crashes the workers that start it"}}});
    stop_job(job, "the job has failed");
}

void fleet_owner::count_unread_crashes(const job_id& job)
{
    const auto unread = unread_crashes_.extract(job);
    if (unread.empty())
    {
        return;
    }
    for (const unread_crash& each : unread.mapped())
    {
        count_crash(each.worker, each.blamed, each.proof);
    }
}

void fleet_owner::end_predecessors(worker_entry& worker)
{
    std::vector<worker_id> earlier;
    earlier.swap(worker.predecessors);
    for (const worker_id& id : earlier)
    {
        worker_entry* replaced = workers_.find(id);
        if (replaced == nullptr ||
            replaced->registration.address != worker.registration.address)
        {
            continue;
        }
        ports_.events.emit(
            {event_number::worker_replaced,
             {{"worker", id.str()},
              {"by", worker.registration.id.str()},
              {"address", worker.registration.address},
              {"runs", std::to_string(replaced->runs.size())}}});
        workers_.set_unreachable(*replaced, true, ports_.clock.now());
        count_crash(*replaced, {}, presumed_end::worker_replaced);
        replaced->lapsed_runs.clear();
        end_lost_runs(*replaced, {}, presumed_end::worker_replaced);
        unsealed_workers_.erase(id);
    }
}

void fleet_owner::keep_blame(worker_entry& worker)
{
    if (worker.announced_drain)
    {
        return;
    }
    for (const run_ref& each : workers_.unproven(worker))
    {
        if (task_entry* task = jobs_.find(each.task))
        {
            task->crashes.suspect();
        }
    }
    for (const blamed_run& each : workers_.blame(worker))
    {
        if (each.blame < crash_blame::shared)
        {
            continue;
        }
        worker.lapsed_runs.push_back(each);
        if (task_entry* task = jobs_.find(each.run.task))
        {
            task->crashes.suspect();
        }
    }
}

} // namespace acaciastile::fleet
