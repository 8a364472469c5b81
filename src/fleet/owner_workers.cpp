#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace acaciastile::fleet
{

namespace
{

/// How long a reported run of an unknown job is kept, counted from the time at
/// which all leases of earlier owners have expired. An outage of the store may
/// delay the job's record; after this time the job counts as deleted.
constexpr milliseconds unread_job_timeout{30'000};

} // namespace

void fleet_owner::poll_workers()
{
    for (const worker_handle due : polls_.take_due(ports_.clock.now()))
    {
        if (worker_entry* worker = workers_.at(due))
        {
            poll_if_due(*worker);
        }
    }
}

void fleet_owner::poll_if_due(worker_entry& worker)
{
    // Without a renewal, and if nothing runs, idle workers have to confirm the
    // ownership.
    const bool needed = !worker.sealed || !worker.reachable ||
                        !worker.runs.empty() ||
                        worker.processed > worker.acknowledgement_sent ||
                        (workers_.busy() == 0 && is_renewal_overdue());
    // The end of the call in flight schedules the next poll.
    if (!needed || worker.hold_in_flight ||
        (!worker.listed && worker.runs.empty()))
    {
        return;
    }
    if (worker.next_hold > ports_.clock.now())
    {
        schedule_poll(worker);
        return;
    }
    poll_worker(worker);
}

void fleet_owner::poll_worker(worker_entry& worker)
{
    const instant now = ports_.clock.now();
    worker.hold_in_flight = true;
    std::optional<worker_instant> lease;
    // Polls to an unreachable worker carry no lease: one that arrives without
    // being answered would extend it and delay the time at which the runs there
    // have certainly ended.
    const bool confirmed = is_confirmed();
    if (confirmed && worker.sealed && worker.reachable && !worker.runs.empty())
    {
        lease = grant_lease(worker, now);
    }
    const bool has_brief_trial =
        worker.trials > 0 &&
        std::any_of(
            worker.runs.begin(),
            worker.runs.end(),
            [](const auto& each)
            { return each.second.trial == run_entry::trial_length::brief; });
    const bool unsettled =
        !confirmed || !worker.reachable || !worker.sealed ||
        worker.processed > worker.acknowledged ||
        std::any_of(
            worker.runs.begin(),
            worker.runs.end(),
            [](const auto& each)
            {
                return each.second.state == run_entry::phase::uncertain ||
                       each.second.state == run_entry::phase::stopping;
            });
    const instant sent = ports_.clock.now_with_suspends();
    const milliseconds wait =
        unsettled              ? milliseconds::zero()
        : has_brief_trial      ? settings_.workers.crash_after_start
        : is_renewal_overdue() ? settings_.status_poll_wait_unconfirmed
                               : settings_.status_poll_wait;
    worker.next_hold =
        now + (unsettled ? settings_.worker_retry_delay : milliseconds::zero());
    // A worker that has restarted under its id would drop ends that nobody has
    // seen. So no number is sent again once the worker has confirmed it, nor
    // before a worker that was out of reach has reported.
    const bool may_acknowledge = worker.reachable && worker.sealed;
    const std::uint64_t acknowledged =
        may_acknowledge && worker.acknowledged > worker.acknowledgement_sent
            ? worker.acknowledged
            : 0;
    const std::uint64_t token = token_of(worker);
    ports_.metrics.count("fleet_holds", "", 1);
    ports_.orders.hold(
        worker.address(),
        token,
        acknowledged,
        lease,
        wait,
        guarded(
            [id = worker.registration.id, now, sent, token, acknowledged](
                fleet_owner& self, const result<worker_status>& status)
            {
                if (worker_entry* polled = self.workers_.find(id);
                    polled != nullptr && status)
                {
                    polled->answered_hold_sent = sent;
                }
                self.on_worker_status(id, now, token, acknowledged, status);
            }));
}

std::uint64_t fleet_owner::token_of(const worker_entry& worker) const
{
    return std::max(token_, worker.token);
}

bool fleet_owner::raise_token(worker_entry& worker)
{
    if (latest_token_ <= worker.lease_token)
    {
        return false;
    }
    worker.token = latest_token_;
    return true;
}

worker_instant fleet_owner::grant_lease(worker_entry& worker, instant now)
{
    worker.lease_token = token_of(worker);
    worker.lease_sent_at = now;
    return workers_.extend_lease(worker, now);
}

instant fleet_owner::longest_lease_end(instant arrived) const
{
    const worker_table_settings& leases = settings_.workers;
    return arrived + leases.by_slowest_clock(leases.longest_lease);
}

void fleet_owner::on_worker_status(
    const worker_id& id,
    instant sent_at,
    std::uint64_t token,
    std::uint64_t acknowledged,
    const result<worker_status>& status)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    const instant now = ports_.clock.now();
    worker->hold_in_flight = false;
    if (status)
    {
        if (!worker->reachable)
        {
            worker->reachable = true;
            ports_.events.emit(
                {event_number::worker_regained, {{"worker", id.str()}}});
        }
        worker->acknowledgement_sent =
            std::max(worker->acknowledgement_sent, acknowledged);
        apply_status(*worker, sent_at, token, *status);
        poll_if_due(*worker);
        schedule_round();
        return;
    }
    if (status.error().code == refusal_code::stale_epoch &&
        token < token_of(*worker))
    {
        // The token was raised while the poll was on its way.
        worker->next_hold = now;
        poll_if_due(*worker);
        return;
    }
    if (status.error().code == refusal_code::unknown_worker &&
        !worker->restart_suspected)
    {
        suspect_restart(*worker);
        return;
    }
    if (status.error().code == refusal_code::stale_epoch)
    {
        ports_.step_down(
            "worker " + id.str() +
            " rejected a status poll with a stale token");
        return;
    }
    if (worker->reachable)
    {
        const bool broke = status.error().code == refusal_code::unreachable;
        workers_.set_unreachable(*worker, broke, now);
        schedule_round(); // Stores which runs a crash is to be blamed on.
        ports_.events.emit(
            {event_number::worker_silent,
             {{"worker", id.str()},
              {"address", worker->registration.address},
              {"incarnation", std::to_string(worker->registration.incarnation)},
              {"runs", std::to_string(worker->runs.size())},
              {"lease_left_ms",
               text_of(
                   worker->lease_expired_at == instant::max()
                       ? milliseconds::zero()
                       : worker->lease_expired_at - now)},
              {"reason", status.error().message}}});
    }
    worker->next_hold = now + settings_.worker_retry_delay;
    schedule_poll(*worker);
    ports_.clock.after(
        settings_.worker_retry_delay,
        guarded([](fleet_owner& self) { self.schedule_round(); }));
}

void fleet_owner::suspect_restart(worker_entry& worker)
{
    worker.restart_suspected = true;
    workers_.unseal(worker);
    worker.next_hold = ports_.clock.now();
    poll_if_due(worker);
}

void fleet_owner::on_worker_restarted(
    worker_entry& worker,
    instant sent_at,
    std::uint64_t token,
    const worker_status& status)
{
    std::set<run_ref> listed;
    for (const running_run& each : status.running)
    {
        listed.insert({each.task, each.run});
    }
    if (worker.sealed || worker.restart_suspected || !worker.runs.empty())
    {
        ports_.events.emit(
            {event_number::worker_restarted,
             {{"worker", worker.registration.id.str()},
              {"runs", std::to_string(worker.runs.size())}}});
    }
    const std::set<run_ref> unsettled = runs_with_unsettled_start(worker);
    std::set<run_ref> kept = listed;
    kept.insert(unsettled.begin(), unsettled.end());
    for (const auto& [id, run] : worker.runs)
    {
        // The new incarnation may have started it after this report.
        if (run.confirmed >= sent_at)
        {
            kept.insert(id);
        }
    }
    count_crash(worker, listed, presumed_end::worker_restarted);
    end_lost_runs(worker, kept, presumed_end::worker_restarted);
    worker.registration.incarnation = status.incarnation;
    // Calls with a lease for the earlier incarnation may arrive until the
    // present one knows a higher token.
    worker.foreign_lease_expired_at = longest_lease_end(
        worker.lease_sent_at + unsettled_order_table::longest_delay);
    worker.seal_token = token > worker.lease_token || raise_token(worker)
                            ? worker.lease_token + 1
                            : 0;
    workers_.unseal(worker);
    std::set<run_ref> to_stop;
    std::set_difference(
        unsettled.begin(),
        unsettled.end(),
        listed.begin(),
        listed.end(),
        std::inserter(to_stop, to_stop.end()));
    for (const auto& [id, run] : worker.runs)
    {
        // The stop order was for the earlier incarnation.
        if (run.state == run_entry::phase::stopping)
        {
            to_stop.insert(id);
        }
    }
    for (const run_ref& id : to_stop)
    {
        bar_run(worker, id);
    }
    worker.announced_drain =
        worker.described_incarnation == status.incarnation &&
        worker.registration.draining;
    worker.processed = 0;
    worker.acknowledged = 0;
    worker.acknowledgement_sent = 0;
    worker.clock = {};
    worker.clock_requested_at = {};
    worker.lease_until = {};
    worker.quarantined_until = {};
    worker.failures_in_row = 0;
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
}

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

std::set<run_ref>
fleet_owner::runs_with_unsettled_start(const worker_entry& worker) const
{
    const auto orders =
        unsettled_orders_.of(worker.registration.id, ports_.clock.now());
    std::set<run_ref> found(orders.begin(), orders.end());
    for (const auto& [id, run] : worker.runs)
    {
        if (run.state == run_entry::phase::starting ||
            run.state == run_entry::phase::uncertain)
        {
            found.insert(id);
        }
    }
    return found;
}

void fleet_owner::bar_run(worker_entry& worker, const run_ref& run)
{
    constexpr std::string_view reason =
        "the worker restarted; its start may still arrive or have arrived";
    if (const auto at = worker.runs.find(run); at != worker.runs.end())
    {
        at->second.state = run_entry::phase::uncertain;
        at->second.stop_answered.reset();
        stop_run(worker, at->second, reason);
        return;
    }
    report_stop(worker, run, reason);
    send_stop(worker.registration.id, run.task, run.run);
}

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
            jobs_.confirm_start(running.task.step.job);
        }
        run.listed_in = worker.status_count;
        run.percent = running.percent;
        run.recorded_blame.reset();
        if (!run.alive_at)
        {
            run.alive_at = worker.clock;
            run.alive_noted = ports_.clock.now();
        }
        workers_.end_trial(worker, run);
        if (!running.checkpoint.empty())
        {
            run.checkpoint = running.checkpoint;
        }
        if (run.state == run_entry::phase::uncertain)
        {
            run.state = run_entry::phase::running;
        }
        return false;
    }
    report_reappeared(worker, {running.task, running.run});
    const job_entry* job = jobs_.find(running.task.step.job);
    run_entry run;
    run.task = running.task;
    run.run = running.run;
    run.checkpoint = running.checkpoint;
    run.state = run_entry::phase::running;
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
        running.task, running.run, worker.registration.id, running.checkpoint);
    workers_.add_run(worker, std::move(run));
    if (outcome == adoption::adopted)
    {
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

void fleet_owner::apply_end(worker_entry& worker, const ended_run& ended)
{
    jobs_.confirm_start(ended.task.step.job);
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
            if (sent_at >= run.confirmed)
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
        end_run(worker, id.task, id.run, run_end::stopped, {});
    }
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
        if (at != worker->runs.end())
        {
            at->second.stop_answered = now;
            worker->next_hold = {};
            schedule_poll(*worker);
            schedule_round();
        }
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
