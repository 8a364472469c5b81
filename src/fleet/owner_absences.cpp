#include "fleet/event_text.hpp"
#include "fleet/owner.hpp"

#include <algorithm>
#include <iterator>

namespace acaciastile::fleet
{

namespace
{

void add_run(absence_record& to, const run_ref& run, bool begun)
{
    if (begun)
    {
        to.begun.push_back(static_cast<std::uint32_t>(to.runs.size()));
    }
    to.runs.emplace_back(run.task, run.run);
}

bool contains(const std::vector<std::uint32_t>& positions, std::uint32_t which)
{
    return std::binary_search(positions.begin(), positions.end(), which);
}

} // namespace

void fleet_owner::restore_absence(
    const worker_id& id, const store_record& record)
{
    auto absence = decode_absence_record(record.value);
    if (!absence)
    {
        ports_.events.emit(
            {event_number::record_unreadable,
             {{"topic", topics::progress}, {"worker", id.str()}}});
        return;
    }
    absences_.restore(id, *std::move(absence));
}

void fleet_owner::restore_absent_workers()
{
    const auto noted = absences_.all();
    for (const auto& [id, absence] : noted)
    {
        worker_entry* worker = workers_.find(id);
        // The registry tells nothing of a life that it does not list.
        const bool may_have_left = absence.announced_drain.value_or(true);
        if (worker != nullptr &&
            worker->registration.incarnation > absence.incarnation)
        {
            // A restart has ended the recorded runs.
            for (const blamed_run& each : absence.blamed)
            {
                if (!may_have_left)
                {
                    count_crash(
                        id, each, name_of(presumed_end::worker_restarted));
                }
            }
            absences_.remove_absence(id);
            continue;
        }
        if (worker == nullptr && absence.runs.empty() && absence.blamed.empty())
        {
            expired_registrations_.emplace(id, registry_next_);
            continue;
        }
        if (worker == nullptr)
        {
            worker = &workers_.add_unlisted(
                {id, absence.address, absence.incarnation}, registry_next_);
            worker->announced_drain = may_have_left;
        }
        else if (absence.announced_drain.value_or(false))
        {
            worker->announced_drain = true;
        }
        workers_.set_unreachable(*worker, false, ports_.clock.now());
        worker->lease_expired_at = inherited_leases_end_;
        std::copy_if(
            absence.blamed.begin(),
            absence.blamed.end(),
            std::back_inserter(worker->lapsed_runs),
            [](const blamed_run& each)
            { return each.blame >= crash_blame::shared; });
        run_list_text restored;
        for (std::uint32_t at = 0; at < absence.runs.size(); ++at)
        {
            const auto& [task, number] = absence.runs[at];
            const bool begun = contains(absence.begun, at);
            if (jobs_.find(task.step.job) == nullptr)
            {
                unread_absent_runs_[task.step.job].push_back(
                    {id, {task, number}, begun});
            }
            else if (restore_absent_run(*worker, task, number, begun))
            {
                restored.add(task, number);
            }
            if (const auto run = worker->runs.find({task, number});
                run != worker->runs.end())
            {
                run->second.recorded_blame = absence.blame_of({task, number});
            }
        }
        report_adopted(*worker, "absence", restored);
    }
}

void fleet_owner::restore_unread_absent_runs(const job_id& job)
{
    const auto unread = unread_absent_runs_.extract(job);
    if (unread.empty() || ports_.clock.now() >= inherited_leases_end_)
    {
        return;
    }
    for (const auto& [id, run, begun] : unread.mapped())
    {
        worker_entry* worker = workers_.find(id);
        // A worker that has reported its status tells of its runs itself.
        if (worker == nullptr || worker->sealed || worker->reachable)
        {
            continue;
        }
        if (restore_absent_run(*worker, run.task, run.run, begun))
        {
            run_list_text restored;
            restored.add(run.task, run.run);
            report_adopted(*worker, "absence", restored);
        }
    }
}

void fleet_owner::add_unread_absent_runs(
    const worker_id& worker, absence_record& absence) const
{
    for (const auto& [job, runs] : unread_absent_runs_)
    {
        for (const auto& [id, run, begun] : runs)
        {
            if (id == worker)
            {
                add_run(absence, run, begun);
            }
        }
    }
}

bool fleet_owner::restore_absent_run(
    worker_entry& worker, const task_ref& task, run_number number, bool begun)
{
    const job_entry* job = jobs_.find(task.step.job);
    // Absence records may list runs that have ended.
    if (job == nullptr || jobs_.has_failed(task, number))
    {
        return false;
    }
    const adoption outcome = jobs_.adopt_run(
        task,
        number,
        worker.registration.id,
        {},
        begun ? start_evidence::absence : start_evidence::none);
    if (outcome != adoption::adopted && outcome != adoption::superseded)
    {
        report_rejected_adoption(worker, task, number, outcome);
        return false;
    }
    run_entry run;
    run.task = task;
    run.run = number;
    run.state = run_entry::phase::uncertain;
    run.begun = begun;
    run.started = ports_.clock.now();
    run.confirmed = run.started;
    run.needs = resources_needed(job->spec(task.step));
    run.account = job->job.account;
    workers_.add_run(worker, std::move(run));
    if (outcome == adoption::superseded)
    {
        report_rejected_adoption(worker, task, number, outcome);
        stop_run(
            worker,
            worker.runs.at({task, number}),
            "a later run of the task is live");
        return false;
    }
    stop_other_runs(task, number, "a later run of the task is live");
    return true;
}

void fleet_owner::update_absence_records()
{
    const bool leases_ended = inherited_may_start();
    for (worker_entry* worker : workers_.out_of_sight())
    {
        update_absence_record(*worker, leases_ended);
    }
    workers_.prune_out_of_sight([](const worker_entry& worker)
                                { return !worker.has_absence_record; });
    if (!leases_ended)
    {
        return;
    }
    for (const auto& [id, dropped_at] : expired_registrations_)
    {
        // An empty record: leases of earlier owners there have expired, so
        // nothing of theirs runs on this worker.
        if (workers_.find(id) == nullptr && id != worker_id(unknown_worker_id))
        {
            absences_.record_absence(id, {});
        }
    }
    removals_recorded_ = registry_next_;
}

void fleet_owner::update_absence_record(worker_entry& worker, bool leases_ended)
{
    const worker_id& id = worker.registration.id;
    const bool in_sight = worker.listed && worker.reachable && worker.sealed;
    // The worker's possible runs are known once it has reported its status, if
    // an earlier owner recorded them, or once all earlier leases have expired.
    const bool known =
        worker.sealed || leases_ended || absences_.find(id) != nullptr;
    if (in_sight)
    {
        absences_.remove_absence(id);
    }
    else if (known && (!worker.listed || !worker.reachable))
    {
        absence_record absence;
        absence.incarnation = worker.registration.incarnation;
        absence.address = worker.registration.address;
        absence.announced_drain = worker.announced_drain;
        for (const auto& [id, run] : worker.runs)
        {
            add_run(absence, id, run.begun);
        }
        if (!worker.reachable && !worker.announced_drain)
        {
            absence.blamed = worker.lapsed_runs;
            for (const blamed_run& each : workers_.blame(worker))
            {
                // How long the others had gone on is not known to a successor.
                absence.blamed.push_back(
                    each.blame >= crash_blame::shared
                        ? each
                        : blamed_run{each.run, crash_blame::beside});
            }
        }
        // The next owner may load before the leases of the earlier ones end.
        if (!worker.sealed && ports_.clock.now() < inherited_leases_end_)
        {
            add_unread_absent_runs(id, absence);
        }
        if (absences_.record_absence(id, absence))
        {
            ports_.events.emit(
                {event_number::worker_noted,
                 {{"worker", id.str()},
                  {"runs", std::to_string(absence.runs.size())},
                  {"listed", worker.listed ? "yes" : "no"}}});
        }
    }
    worker.has_absence_record = absences_.is_recorded(id);
}

void fleet_owner::prune_absence_records()
{
    const auto is_past = [&](log_offset dropped_at)
    {
        return dropped_at + registry_lookback_records < registry_next_ &&
               dropped_at < removals_noted_;
    };
    std::erase_if(
        expired_registrations_,
        [&](const auto& each)
        {
            if (!is_past(each.second))
            {
                return false;
            }
            if (workers_.find(each.first) == nullptr)
            {
                absences_.remove_absence(each.first);
            }
            return true;
        });
    const instant now = ports_.clock.now();
    const auto may_forget = [&](const worker_entry& worker)
    {
        // A later incarnation has to be told from one that is new.
        return is_past(worker.dropped_at) &&
               unsettled_orders_.of(worker.registration.id, now).empty();
    };
    for (const worker_id& id : workers_.forget_unlisted(may_forget))
    {
        absences_.remove_absence(id);
    }
}

} // namespace acaciastile::fleet
