#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void fleet_owner::apply_status(
    worker_entry& worker,
    instant sent_at,
    std::uint64_t token,
    const worker_status& status)
{
    const instant now = ports_.clock.now();
    ++worker.status_count;
    if (status.incarnation != worker.registration.incarnation)
    {
        on_worker_restarted(worker, sent_at, token, status);
    }
    worker.restart_suspected = false;
    worker.lapsed_runs.clear(); // It has not crashed since.
    if (token < worker.seal_token)
    {
        worker.next_hold = now;
    }
    else if (!worker.sealed)
    {
        seal(worker, status);
    }
    workers_.note_clock(worker, status.clock, sent_at, now);
    clear_unread_jobs(worker.registration.id);
    run_list_text adopted;
    for (const running_run& each : status.running)
    {
        if (may_be_unread(each.task.step.job))
        {
            defer_unread_job(worker, each.task.step.job);
            continue;
        }
        if (apply_running(worker, each))
        {
            adopted.add(each.task, each.run);
        }
    }
    report_adopted(worker, "status", adopted);
    for (const ended_run& each : status.ended)
    {
        if (each.number <= worker.processed)
        {
            continue;
        }
        if (may_be_unread(each.task.step.job))
        {
            // Leaves this end and later ones unacknowledged, so that the worker
            // reports them again once the job is read. Until then it is unknown
            // which runs are missing.
            defer_unread_job(worker, each.task.step.job);
            return;
        }
        apply_end(worker, each);
        workers_.note_processed(worker, each.number);
        worker.next_hold =
            std::max(worker.next_hold, now + settings_.end_ack_wait);
    }
    reconcile_missing_runs(worker, sent_at, status);
}

void fleet_owner::seal(worker_entry& worker, const worker_status& status)
{
    worker.sealed = true;
    const instant expired_at = longest_lease_end(ports_.clock.now());
    // A call of an earlier owner may have arrived before if the present
    // incarnation is so young.
    const bool may_have_foreign_lease =
        token_ > first_token &&
        status.clock.time_since_epoch() < unsettled_order_table::longest_delay;
    if (worker.seal_token > 0)
    {
        // Calls for the earlier incarnation are rejected from now on.
        worker.foreign_lease_expired_at = expired_at;
    }
    else if (may_have_foreign_lease)
    {
        worker.foreign_lease_expired_at =
            std::max(worker.foreign_lease_expired_at, expired_at);
    }
    ports_.events.emit(
        {event_number::fleet_worker_sealed,
         {{"worker", worker.registration.id.str()},
          {"address", worker.registration.address},
          {"incarnation", std::to_string(worker.registration.incarnation)},
          {"running", std::to_string(status.running.size())},
          {"ended", std::to_string(status.ended.size())}}});
    end_predecessors(worker);
    resolve_noted_runs(worker, status);
}

void fleet_owner::reconcile_missing_runs(
    worker_entry& worker, instant sent_at, const worker_status& status)
{
    // A worker reports at most 500 ends at a time, so a run that is missing in
    // a full list may be among those that follow.
    constexpr std::size_t max_reported_ends = 500;
    if (status.ended.size() >= max_reported_ends)
    {
        return;
    }
    std::vector<run_ref> missing;
    std::vector<run_ref> to_stop;
    for (const auto& [id, run] : worker.runs)
    {
        if (run.listed_in == worker.status_count)
        {
            continue;
        }
        switch (run.state)
        {
        case run_entry::phase::starting:
            break;
        case run_entry::phase::uncertain:
            if (sent_at >= run.confirmed && !awaits_start(worker, id))
            {
                to_stop.push_back(id);
            }
            break;
        case run_entry::phase::running:
            if (sent_at > run.confirmed)
            {
                missing.push_back(id);
            }
            break;
        case run_entry::phase::stopping:
            if (run.stop_answered && sent_at > *run.stop_answered)
            {
                missing.push_back(id);
            }
            break;
        }
    }
    for (const run_ref& id : to_stop)
    {
        stop_run(
            worker, worker.runs.at(id), "the start order was not answered");
    }
    for (const run_ref& id : missing)
    {
        presumed_ends_.add(id, presumed_end::not_listed, ports_.clock.now());
        // It was stopped there or has ended there.
        unsettled_orders_.note_barred(
            worker.registration.id, id, worker.registration.incarnation);
        end_run(worker, id.task, id.run, run_end::stopped, {});
    }
}

bool fleet_owner::awaits_start(const worker_entry& worker, const run_ref& run)
{
    const job_entry* job = jobs_.find(run.task.step.job);
    return job != nullptr && !job->is_final() &&
           !job->spec(run.task.step).long_running &&
           unsettled_orders_.may_start_on(
               worker.registration.id,
               run,
               worker.registration.incarnation,
               ports_.clock.now());
}

} // namespace acaciastile::fleet
