#include "fleet/owner.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void fleet_owner::note_run(const worker_entry& worker, run_entry& run)
{
    if (run.noted)
    {
        return;
    }
    const task_entry* task = jobs_.find(run.task);
    const bool on_trial = run.trial != run_entry::trial_length::none;
    if (!on_trial && (task == nullptr || task->crashes.crashes().empty()))
    {
        return;
    }
    run.noted = true;
    // A successor cannot tell how soon after the run's start the worker has
    // crashed.
    const crash_blame blame = run.trial == run_entry::trial_length::until_end
                                  ? crash_blame::sole
                                  : crash_blame::late;
    noted_runs_.note({worker.address(), {{run.task, run.run}, blame}});
    ports_.metrics.count("fleet_runs_noted", "", 1);
    // Until it is stored, a crash may go uncounted.
    next_flush_ = ports_.clock.now();
    schedule_round();
}

void fleet_owner::drop_old_note(run_entry& run)
{
    if (run.noted && ports_.clock.now() - run.started >= longest_counted_run)
    {
        noted_runs_.remove({run.task, run.run});
        run.noted = false;
    }
}

void fleet_owner::restore_noted_run(const store_record& record)
{
    auto noted = decode_noted_run(record.value);
    if (!noted)
    {
        ports_.events.emit(
            {event_number::record_unreadable,
             {{"topic", topics::progress}, {"key", record.key}}});
        return;
    }
    noted_runs_.restore(*std::move(noted));
}

void fleet_owner::resolve_noted_runs(
    const worker_entry& worker, const worker_status& status)
{
    for (const noted_run& each : noted_runs_.take_restored(worker.address()))
    {
        const run_ref& run = each.blamed.run;
        const bool is_listed = std::any_of(
            status.running.begin(),
            status.running.end(),
            [&](const running_run& running)
            { return running.task == run.task && running.run == run.run; });
        if (is_listed)
        {
            continue; // Its end removes the note.
        }
        noted_runs_.remove(run);
        const bool same_id = each.worker.id == worker.registration.id;
        if (same_id &&
            worker.registration.incarnation <= each.worker.incarnation)
        {
            continue; // It has ended, or its worker tells of its end.
        }
        const worker_entry* replaced =
            same_id ? nullptr : workers_.find(each.worker.id);
        if (replaced != nullptr && replaced->announced_drain)
        {
            continue;
        }
        count_crash(
            each.worker.id,
            each.blamed,
            name_of(
                same_id ? presumed_end::worker_restarted
                        : presumed_end::worker_replaced));
    }
}

void fleet_owner::prune_noted_runs()
{
    if (ports_.clock.now() >= inherited_leases_end_ + unread_job_timeout)
    {
        noted_runs_.remove_restored();
    }
}

} // namespace acaciastile::fleet
