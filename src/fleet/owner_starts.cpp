#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <array>

namespace acaciastile::fleet
{

void fleet_owner::execute(const start_decision& decision)
{
    ports_.metrics.count("fleet_starts", "", 1);
    event started{
        event_number::run_started,
        {{"task", text_of(decision.task)},
         {"run", std::to_string(decision.run)},
         {"worker", decision.worker.str()},
         {"resumes", decision.checkpoint.empty() ? "no" : "yes"},
         {"speed_percent", percent_of(decision.speed)},
         {"time_left_ms", text_of(decision.time_left)},
         {"late_percent", percent_of(decision.chance_late)}}};
    if (const worker_entry* worker = workers_.find(decision.worker))
    {
        started.fields.emplace_back("used", text_of(worker->used));
        started.fields.emplace_back(
            "capacity", text_of(worker->registration.capacity));
        started.fields.emplace_back(
            "incarnation", std::to_string(worker->registration.incarnation));
    }
    if (decision.worker_limit > 0)
    {
        started.fields.emplace_back(
            "limit", std::to_string(decision.worker_limit));
        started.fields.emplace_back("beside", std::to_string(decision.beside));
    }
    if (decision.held)
    {
        started.fields.emplace_back("held_ms", text_of(*decision.held));
        ports_.metrics.sample(
            "fleet_start_held_ms",
            "",
            static_cast<double>(decision.held->count()));
    }
    ports_.events.emit(started);
    send_start(decision, false);
}

void fleet_owner::send_start(const start_decision& decision, bool is_retry)
{
    worker_entry* worker = workers_.find(decision.worker);
    const job_entry* job = jobs_.find(decision.task.step.job);
    if (worker == nullptr || job == nullptr)
    {
        return;
    }
    start_order order;
    order.task = decision.task;
    order.run = decision.run;
    order.payload = job->job.request.payload;
    order.checkpoint = decision.checkpoint;
    order.permit = decision.ticket;
    if (const auto at = worker->runs.find({decision.task, decision.run});
        at != worker->runs.end())
    {
        order.after_answer = at->second.trial != run_entry::trial_length::none;
    }
    // Taken first: the process may stand still at any point, also in a round.
    const instant now = ports_.clock.now();
    if (!is_confirmed())
    {
        on_start_not_sent(decision, is_retry, "the ownership is not confirmed");
        return;
    }
    if (!worker->sealed)
    {
        on_start_not_sent(decision, is_retry, "the worker may have restarted");
        return;
    }
    // A later incarnation rejects a permit of an earlier one. Copies of a
    // speculative task may run at the same time.
    const bool binds =
        order.permit.empty() && !job->spec(decision.task.step).speculative;
    unsettled_orders_.add(
        decision.worker,
        {decision.task, decision.run},
        now,
        worker->registration.incarnation,
        binds ? order_reach::any_incarnation : order_reach::one_incarnation);
    const worker_instant lease = grant_lease(*worker, now);
    const std::uint64_t token = token_of(*worker);
    ports_.orders.start(
        worker->address(),
        token,
        lease,
        std::move(order),
        guarded(
            [decision, is_retry, now, token](
                fleet_owner& self, const result<start_answer>& answer)
            { self.on_start_answer(decision, is_retry, now, token, answer); }));
}

void fleet_owner::on_start_not_sent(
    const start_decision& decision, bool is_retry, std::string_view reason)
{
    ports_.events.emit(
        {event_number::start_unanswered,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"verdict",
           std::string(
               to_string(is_retry ? verdict::may_have_run : verdict::not_run))},
          {"reason", "not sent: " + std::string(reason)}}});
    if (!is_retry)
    {
        undo_start(
            decision, "the start of another run of the gang was not sent");
        return;
    }
    worker_entry* worker = workers_.find(decision.worker);
    const auto at = worker->runs.find({decision.task, decision.run});
    if (at != worker->runs.end())
    {
        mark_uncertain(*worker, at->second, ports_.clock.now());
    }
}

void fleet_owner::on_start_answer(
    const start_decision& decision,
    bool is_retry,
    instant sent_at,
    std::uint64_t token,
    const result<start_answer>& answer)
{
    if (answer && !answer->refusal)
    {
        // Also if the run is not known any more: it has started.
        jobs_.confirm_start(decision.task.step.job, start_evidence::answer);
        if (step_entry* step = jobs_.find(decision.task.step))
        {
            step->rejections.clear();
        }
    }
    if (answer ? !answer->unanswered_copy
               : answer.error().effect == verdict::not_run)
    {
        unsettled_orders_.settle(
            decision.worker, {decision.task, decision.run}, sent_at);
    }
    else
    {
        unsettled_orders_.note_unanswered(
            decision.worker, {decision.task, decision.run}, sent_at);
    }
    worker_entry* worker = workers_.find(decision.worker);
    if (worker == nullptr)
    {
        return;
    }
    const auto at = worker->runs.find({decision.task, decision.run});
    if (at == worker->runs.end())
    {
        return; // The worker has already reported the end of the run.
    }
    const instant now = ports_.clock.now();
    run_entry& run = at->second;
    if (answer)
    {
        if (answer->clock)
        {
            note_start_clock(*worker, *answer->clock, sent_at);
            if (!answer->refusal && !run.alive_at)
            {
                run.alive_at = *answer->clock;
                run.alive_noted = now;
            }
        }
        if (answer->refusal)
        {
            // A token that was raised since the order was sent tells of a
            // restart, not of a later owner.
            const start_refusal reason =
                *answer->refusal == start_refusal::fenced &&
                        token < token_of(*worker)
                    ? start_refusal::other_incarnation
                    : *answer->refusal;
            report_refusal(
                decision, reason, is_retry || answer->unanswered_copy);
            if (reason != start_refusal::fenced &&
                (is_retry || answer->unanswered_copy ||
                 reason == start_refusal::superseded))
            {
                // An earlier order or copy may have been carried out, with the
                // run ended since, or may still arrive.
                mark_uncertain(*worker, run, now);
                if (reason == start_refusal::other_incarnation)
                {
                    suspect_restart(*worker);
                }
                return;
            }
            on_start_refused(decision, *worker, reason);
            schedule_round();
            return;
        }
        if (run.state != run_entry::phase::stopping)
        {
            run.state = run_entry::phase::running;
        }
        run.begun = true;
        run.confirmed = now;
        note_run(*worker, run);
        ports_.metrics.sample(
            "fleet_start_ms", "", static_cast<double>((now - sent_at).count()));
        poll_if_due(*worker);
        return;
    }
    const bool broke = answer.error().code == refusal_code::unreachable;
    run.sent_to_live_worker = run.sent_to_live_worker ||
                              (run.trial != run_entry::trial_length::none &&
                               answer.error().effect == verdict::may_have_run);
    if (run.sent_to_live_worker)
    {
        note_run(*worker, run);
    }
    ports_.events.emit(
        {event_number::start_unanswered,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"verdict", std::string(to_string(answer.error().effect))},
          {"reason", answer.error().message}}});
    if (answer.error().effect == verdict::not_run &&
        run.state == run_entry::phase::starting && !is_retry)
    {
        workers_.set_unreachable(*worker, broke, now);
        worker->next_hold = now;
        schedule_poll(*worker);
        undo_start(
            decision, "the worker of another run of the gang is unreachable");
        schedule_round();
        return;
    }
    if (!is_retry && run.state == run_entry::phase::starting &&
        !worker->evacuated)
    {
        // Safe to retry: a worker starts a run number only once.
        send_start(decision, true);
        return;
    }
    workers_.set_unreachable(*worker, broke, now);
    mark_uncertain(*worker, run, now);
}

void fleet_owner::note_start_clock(
    worker_entry& worker, worker_instant clock, instant sent_at)
{
    const instant now = ports_.clock.now();
    if (!workers_.is_clock_reset(worker, clock, sent_at))
    {
        workers_.note_clock(worker, clock, sent_at, now);
        return;
    }
    ports_.events.emit(
        {event_number::worker_clock_reset,
         {{"worker", worker.registration.id.str()},
          {"clock", text_of(clock.time_since_epoch())},
          {"lowest",
           text_of(
               workers_.lowest_clock(worker, sent_at).time_since_epoch())}}});
    // The lease in the order was far ahead on the clock that started anew.
    worker.foreign_lease_expired_at =
        std::max(worker.foreign_lease_expired_at, longest_lease_end(now));
    workers_.unseal(worker);
    worker.next_hold = now;
}

void fleet_owner::mark_uncertain(
    worker_entry& worker, run_entry& run, instant now)
{
    if (run.state == run_entry::phase::starting)
    {
        run.state = run_entry::phase::uncertain;
        run.confirmed = now;
    }
    worker.next_hold = now;
    schedule_poll(worker);
    schedule_round();
}

void fleet_owner::undo_start(
    const start_decision& decision, std::string_view reason)
{
    worker_entry* worker = workers_.find(decision.worker);
    if (worker != nullptr)
    {
        workers_.remove_run(*worker, decision.task, decision.run);
    }
    noted_runs_.remove({decision.task, decision.run});
    presumed_ends_.add(
        {decision.task, decision.run},
        presumed_end::withdrawn,
        ports_.clock.now());
    jobs_.undo_run(decision.task, decision.run);
    const job_entry* job = jobs_.find(decision.task.step.job);
    if (job != nullptr && job->spec(decision.task.step).gang)
    {
        stop_step(decision.task.step, reason);
    }
}

void fleet_owner::report_refusal(
    const start_decision& decision, start_refusal reason, bool unanswered_copy)
{
    constexpr std::array<const char*, 8> names{
        "fenced",
        "superseded",
        "too_late",
        "no_room",
        "permit",
        "unhealthy",
        "other_incarnation",
        "malformed"};
    ports_.events.emit(
        {event_number::start_refused,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"reason", names[static_cast<std::size_t>(reason)]},
          {"unanswered_copy", unanswered_copy ? "yes" : "no"}}});
    ports_.metrics.count(
        "fleet_starts_refused", names[static_cast<std::size_t>(reason)], 1);
}

void fleet_owner::on_start_refused(
    const start_decision& decision, worker_entry& worker, start_refusal reason)
{
    const instant now = ports_.clock.now();
    undo_start(decision, "the start of another run of the gang was refused");
    worker.next_hold = now;
    schedule_poll(worker);
    switch (reason)
    {
    case start_refusal::fenced:
        ports_.step_down(
            "worker " + decision.worker.str() +
            " rejected a start with a stale token");
        return;
    case start_refusal::permit:
        if (step_entry* step = jobs_.find(decision.task.step))
        {
            step->permits.expire(worker.handle);
        }
        return;
    case start_refusal::no_room:
    case start_refusal::unhealthy:
        worker.quarantined_until = now + settings_.refused_start_pause;
        return;
    case start_refusal::malformed:
        on_start_malformed(decision, worker);
        return;
    case start_refusal::other_incarnation:
        suspect_restart(worker);
        return;
    case start_refusal::superseded:
    case start_refusal::too_late:
        return; // The next status poll reads the worker's clock.
    }
}

void fleet_owner::on_start_malformed(
    const start_decision& decision, worker_entry& worker)
{
    step_entry* step = jobs_.find(decision.task.step);
    if (step == nullptr)
    {
        return;
    }
    const instant now = ports_.clock.now();
    rejected_orders& rejections = step->rejections;
    if (rejections.note(worker.handle, settings_.refused_start_pause, now))
    {
        ports_.metrics.count("fleet_steps_rejected", "", 1);
        ports_.events.emit(
            {event_number::step_rejected,
             {{"job", decision.task.step.job.str()},
              {"task", text_of(decision.task)},
              {"worker", decision.worker.str()},
              {"pauses", std::to_string(rejections.pauses())},
              {"pause_ms", text_of(rejections.pause())}}});
    }
    if (!rejections.are_orders_wrong())
    {
        worker.quarantined_until = now + settings_.refused_start_pause;
    }
}

} // namespace acaciastile::fleet
