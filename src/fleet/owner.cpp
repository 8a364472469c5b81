#include "fleet/owner.hpp"

#include "fleet/complete_on_drop.hpp"
#include "fleet/event_text.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cmath>

namespace acaciastile::fleet
{

namespace
{

/// Error for callers whose request is pending when the owner is destroyed.
error owner_ended()
{
    return {
        refusal_code::no_owner,
        verdict::may_have_run,
        "the fleet is given to another VM",
        {}};
}

/// Most workers named in a log line.
constexpr std::size_t max_workers_logged = 8;

/// The first workers that the policy service allowed.
std::string first_workers(const permits& answer)
{
    const std::size_t count =
        std::min(answer.allowed.size(), max_workers_logged);
    return absl::StrJoin(
        answer.allowed.begin(),
        answer.allowed.begin() + static_cast<std::ptrdiff_t>(count),
        ",",
        [](std::string* out, const permits::permit& each)
        { absl::StrAppend(out, each.worker.str()); });
}

} // namespace

std::shared_ptr<fleet_owner> fleet_owner::create(
    owner_settings settings, owner_ports ports, std::uint64_t token)
{
    return std::shared_ptr<fleet_owner>(
        new fleet_owner(settings, std::move(ports), token));
}

fleet_owner::fleet_owner(
    owner_settings settings, owner_ports ports, std::uint64_t token)
    : settings_(settings),
      ports_(std::move(ports)),
      token_(token),
      latest_token_(token),
      jobs_(token),
      workers_(settings.workers),
      unseen_cancels_(settings.max_unseen_cancels),
      planner_(settings.planning),
      dispatcher_(settings.advice, token)
{
}

fleet_owner::~fleet_owner()
{
    dispatcher_.close();
}

void fleet_owner::later(milliseconds delay, void (fleet_owner::*work)())
{
    ports_.clock.after(
        delay, guarded([work](fleet_owner& self) { (self.*work)(); }));
}

void fleet_owner::start()
{
    load();
}

void fleet_owner::schedule_round()
{
    if (round_scheduled_ || !loaded_)
    {
        return;
    }
    round_scheduled_ = true;
    const milliseconds since = ports_.clock.now() - last_round_;
    later(
        std::max(
            milliseconds::zero(),
            std::max(
                settings_.round_interval,
                planning_cost_ * settings_.round_pause_factor) -
                since),
        &fleet_owner::run_round);
}

void fleet_owner::run_round()
{
    round_scheduled_ = false;
    const instant now = ports_.clock.now();
    last_round_ = now;
    jobs_.open_due_occurrences(ports_.clock.wall(), now);
    unsettled_orders_.drop_expired(now);
    expire_leases();
    check_isolation();
    update_absence_records();
    plan decided;
    if (check_confirmed())
    {
        decided = planner_.decide(
            jobs_,
            workers_,
            ports_.config(),
            now,
            inherited_may_start(),
            dispatcher_.budget(now),
            unheard_capacity(),
            &unsettled_orders_);
    }
    planning_cost_ = ports_.clock.now() - now;
    for (const permit_request& question : decided.permit_requests)
    {
        dispatcher_.add(question);
    }
    for (const start_decision& decision : decided.starts)
    {
        execute(decision);
    }
    report_waits(decided);
    hand_out_questions();
    const bool is_idle_round = next_idle_round_ <= now;
    if (is_idle_round)
    {
        // Covers a worker whose poll was not scheduled when it came to need
        // one.
        for (const worker_entry* worker : workers_.all())
        {
            schedule_poll(*worker);
        }
    }
    poll_workers();
    flush();
    last_round_ = ports_.clock.now();
    if (!decided.complete)
    {
        schedule_round();
    }
    if (is_idle_round)
    {
        next_idle_round_ = now + settings_.idle_round_interval;
        ports_.clock.after(
            settings_.idle_round_interval,
            guarded([](fleet_owner& self) { self.schedule_round(); }));
    }
}

void fleet_owner::report_waits(const plan& decided)
{
    if (decided.permits_used > 0)
    {
        ports_.metrics.count(
            "fleet_permits_used",
            "",
            static_cast<double>(decided.permits_used));
    }
    for (std::size_t at = 0; at < decided.permit_waits.size(); ++at)
    {
        if (decided.permit_waits[at] > 0)
        {
            ports_.metrics.count(
                "fleet_permit_waits",
                permit_wait_names[at],
                static_cast<double>(decided.permit_waits[at]));
        }
    }
    ports_.metrics.gauge(
        "fleet_steps_impossible",
        "",
        static_cast<double>(decided.impossible_steps));
    for (const step_id& each : decided.first_impossible)
    {
        ports_.events.emit(
            {event_number::step_impossible,
             {{"job", each.job.str()}, {"step", std::to_string(each.step)}}});
    }
    ports_.metrics.gauge(
        "fleet_starts_open",
        "",
        static_cast<double>(unsettled_orders_.unanswered()));
    ports_.metrics.gauge(
        "fleet_tasks_held", "", static_cast<double>(decided.held_tasks));
    for (const held_start& each : decided.first_held)
    {
        ports_.events.emit(
            {event_number::start_held,
             {{"task", text_of(each.task)},
              {"worker", each.worker.str()},
              {"reason", std::string(name_of(each.reason))}}});
    }
    for (const first_permit_wait& each : decided.first_permit_waits)
    {
        ports_.events.emit(
            {event_number::permit_unused,
             {{"job", each.step.job.str()},
              {"step", std::to_string(each.step.step)},
              {"reason", std::string(name_of(each.reason))}}});
    }
}

void fleet_owner::confirm(instant sent)
{
    confirmed_by_store_ =
        confirmed_by_store_ ? std::max(*confirmed_by_store_, sent) : sent;
    if (!was_confirmed_)
    {
        schedule_round();
    }
}

void fleet_owner::on_evacuations_changed()
{
    if (!loaded_)
    {
        return;
    }
    const std::set<data_centre_name>& now =
        ports_.operators.evacuations().all();
    workers_.set_evacuated(now);
    const auto report = [&](event_number what, const data_centre_name& name)
    {
        std::size_t workers = 0;
        std::size_t runs = 0;
        for (const worker_entry* worker : workers_.all())
        {
            if (worker->registration.data_centre == name)
            {
                workers += worker->listed ? 1 : 0;
                runs += worker->runs.size();
            }
        }
        ports_.events.emit(
            {what,
             {{"data_centre", name.str()},
              {"fence", std::to_string(token_)},
              {"workers", std::to_string(workers)},
              {"runs", std::to_string(runs)}}});
    };
    for (const data_centre_name& name : now)
    {
        if (!evacuated_.contains(name))
        {
            report(event_number::evacuation_begun, name);
        }
    }
    for (const data_centre_name& name : evacuated_)
    {
        if (!now.contains(name))
        {
            report(event_number::evacuation_ended, name);
        }
    }
    evacuated_ = now;
    ports_.metrics.gauge(
        "fleet_evacuations", "", static_cast<double>(evacuated_.size()));
    schedule_round();
}

void fleet_owner::note_token(std::uint64_t token)
{
    latest_token_ = std::max(latest_token_, token);
}

bool fleet_owner::is_confirmed()
{
    const instant now = ports_.clock.now_with_suspends();
    if (confirmed_by_store_ &&
        now - *confirmed_by_store_ <= settings_.store_confirmation)
    {
        return true;
    }
    if (workers_counted_ != now)
    {
        workers_counted_ = now;
        confirmed_by_workers_ = is_confirmed_by_workers(now);
    }
    return confirmed_by_workers_;
}

bool fleet_owner::is_confirmed_by_workers(instant now) const
{
    // Idle workers are polled only while no worker has runs. Workers whose runs
    // were lost since the store last confirmed the ownership still count: a
    // successor may reach them.
    const bool count_idle = workers_.busy() == 0;
    std::size_t counted = 0;
    std::size_t answered = 0;
    for (const worker_entry* worker : workers_.all())
    {
        const bool lost_runs = worker->lost_runs_at &&
                               (!confirmed_by_store_ ||
                                *worker->lost_runs_at > *confirmed_by_store_);
        const bool counts = !worker->runs.empty() || lost_runs ||
                            (worker->listed && count_idle);
        if (!counts)
        {
            continue;
        }
        ++counted;
        answered +=
            worker->answered_hold_sent && now - *worker->answered_hold_sent <=
                                              settings_.worker_confirmation
                ? 1
                : 0;
    }
    return answered * 2 > counted;
}

bool fleet_owner::is_renewal_overdue() const
{
    return !confirmed_by_store_ ||
           ports_.clock.now_with_suspends() - *confirmed_by_store_ >
               settings_.renewal_overdue;
}

bool fleet_owner::check_confirmed()
{
    const bool confirmed = is_confirmed();
    if (confirmed == was_confirmed_)
    {
        return confirmed;
    }
    was_confirmed_ = confirmed;
    const instant now = ports_.clock.now_with_suspends();
    const milliseconds age =
        confirmed_by_store_ ? now - *confirmed_by_store_ : milliseconds::zero();
    if (confirmed)
    {
        const bool by_store =
            confirmed_by_store_ && age <= settings_.store_confirmation;
        ports_.events.emit(
            {event_number::ownership_confirmed,
             {{"fence", std::to_string(token_)},
              {"by", by_store ? "store" : "workers"}}});
    }
    else
    {
        ports_.events.emit(
            {event_number::ownership_unconfirmed,
             {{"fence", std::to_string(token_)}, {"age_ms", text_of(age)}}});
    }
    return confirmed;
}

void fleet_owner::check_isolation()
{
    if (last_work_request_ != instant::max() &&
        ports_.clock.now() - last_work_request_ > settings_.isolation_timeout)
    {
        last_work_request_ = instant::max();
        ports_.yield("no other VM has requested work from this one recently");
    }
}

void fleet_owner::hand_out_questions()
{
    const instant now = ports_.clock.now();
    for (const permit_request& overdue : dispatcher_.dispatch(now))
    {
        permit_requests::note_no_answer(jobs_, overdue.step, now);
        ports_.events.emit(
            {event_number::advice_missing,
             {{"job", overdue.step.job.str()},
              {"step", std::to_string(overdue.step.step)},
              {"reason", "no VM returned an answer in time"}}});
    }
}

void fleet_owner::look_up(const job_id& id, completion<job_view> done)
{
    if (const job_entry* job = jobs_.find(id); job != nullptr && loaded_)
    {
        done(job_view{true, job->reported_state});
        return;
    }
    done = complete_on_drop(std::move(done), owner_ended());
    read_jobs_now(
        [this, id, done = std::move(done)](const result<void>& read)
        {
            if (!read)
            {
                done(tl::unexpected(read.error()));
                return;
            }
            const job_entry* job = jobs_.find(id);
            done(
                job == nullptr ? job_view{}
                               : job_view{true, job->reported_state});
        });
}

milliseconds fleet_owner::store_silence() const
{
    return loaded_ ? ports_.clock.now() - last_store_answer_
                   : milliseconds::zero();
}

void fleet_owner::count_waiting(
    const queue_name& queue, completion<waiting_count> done)
{
    if (!loaded_)
    {
        done(refuse(refusal_code::no_owner, "the owner is loading"));
        return;
    }
    if (age_of_jobs() <= settings_.count_without_read ||
        age_of_ownership() > settings_.oldest_count || are_jobs_out_of_reach())
    {
        done(count_known(queue));
        return;
    }
    done = complete_on_drop(std::move(done), owner_ended());
    read_jobs_now(
        // Without an answer of the store what is known may still do.
        [this,
         queue,
         asked = ports_.clock.now_with_suspends(),
         done = std::move(done)](const result<void>& /*read*/)
        {
            result<waiting_count> count = count_known(queue);
            if (count)
            {
                count->held = ports_.clock.now_with_suspends() - asked;
            }
            done(std::move(count));
        });
}

void fleet_owner::cancel(const job_id& id, completion<bool> done)
{
    done = complete_on_drop(std::move(done), owner_ended());
    if (job_entry* job = jobs_.find(id); job != nullptr && loaded_)
    {
        cancel_known(*job, std::move(done));
        return;
    }
    read_jobs_now(
        [this, id, done = std::move(done)](const result<void>& read)
        {
            job_entry* job = jobs_.find(id);
            if (!read)
            {
                done(tl::unexpected(read.error()));
            }
            else if (job == nullptr)
            {
                cancel_unseen(id, done);
            }
            else
            {
                cancel_known(*job, done);
            }
        });
}

void fleet_owner::cancel_unseen(const job_id& id, completion<bool> done)
{
    if (!unseen_cancels_.add(id, ports_.clock.now(), ports_.clock.wall()))
    {
        done(refuse(
            refusal_code::overloaded,
            "too many unknown jobs were cancelled lately"));
        return;
    }
    ports_.events.emit(
        {event_number::unseen_job_cancelled, {{"job", id.str()}}});
    after_flush_.push_back([done = std::move(done)] { done(false); });
    schedule_round();
}

void fleet_owner::end_cancelled_request(job_entry& job)
{
    ports_.events.emit(
        {event_number::cancelled_request_stored, {{"job", job.job.id.str()}}});
    jobs_.cancel(job.job.id, ports_.clock.wall());
    stop_job(job, "the job was cancelled before its request was stored");
    jobs_.mark_changed(job);
    schedule_round();
}

void fleet_owner::cancel_known(job_entry& job, completion<bool> done)
{
    const bool was_final = job.is_final();
    if (!was_final)
    {
        ports_.events.emit(
            {event_number::job_stop_asked, {{"job", job.job.id.str()}}});
        jobs_.cancel(job.job.id, ports_.clock.wall());
        stop_job(job, "the job was cancelled");
    }
    if (was_final && !job.changed && !flushing_)
    {
        done(true);
        return;
    }
    jobs_.mark_changed(job);
    after_flush_.push_back([done = std::move(done)] { done(true); });
    schedule_round();
}

void fleet_owner::request_work(
    const instance_id& vm,
    milliseconds wait,
    advice_dispatcher::question_handler reply)
{
    const instant now = ports_.clock.now();
    if (vm != settings_.vm)
    {
        last_work_request_ = now;
    }
    dispatcher_.request_question(vm, now, now + wait, std::move(reply));
    hand_out_questions();
    if (!jobs_.open().empty())
    {
        schedule_round(); // Steps may be waiting to be put as questions.
    }
}

void fleet_owner::on_policy_answer(
    const instance_id& vm,
    const step_id& step,
    std::uint64_t question,
    const std::optional<permits>& answer,
    milliseconds age)
{
    const auto answered = dispatcher_.finish(vm, step, question);
    if (!answered)
    {
        // The question has been given to another VM since, or this is a copy of
        // an answer that has been handled.
        return;
    }
    const instant now = ports_.clock.now();
    if (!answer)
    {
        permit_requests::note_no_answer(
            jobs_, step, now + settings_.advice_retry_delay);
        ports_.events.emit(
            {event_number::advice_missing,
             {{"job", step.job.str()},
              {"step", std::to_string(step.step)},
              {"reason", "the policy service did not answer " + vm.str()}}});
        schedule_round();
        return;
    }
    planner_.permits().note_answer(
        jobs_,
        workers_,
        step,
        answered->workers,
        *answer,
        now - age - settings_.permit_transit_time + answer->valid);
    if (!answer->allowed.empty())
    {
        ports_.metrics.count("fleet_permits_granted", "", 1);
    }
    ports_.events.emit(
        {event_number::advice_taken,
         {{"job", step.job.str()},
          {"step", std::to_string(step.step)},
          {"asked", std::to_string(answered->workers.size())},
          {"allowed", std::to_string(answer->allowed.size())},
          {"workers", first_workers(*answer)},
          {"age_ms", text_of(age)},
          {"vm", vm.str()}}});
    schedule_round();
}

std::string fleet_owner::describe_speeds() const
{
    const worker_speeds& speeds = planner_.speeds();
    if (!speeds.is_uneven())
    {
        return "even";
    }
    std::string text;
    for (const worker_entry* worker : workers_.all())
    {
        const auto known = speeds.evidence_of(worker->handle);
        if (worker->listed && known.runs > 0)
        {
            absl::StrAppend(
                &text,
                text.empty() ? "" : ",",
                worker->registration.id.str(),
                ":",
                percent_of(speeds.speed_of(worker->handle)),
                "%/",
                std::lround(known.runs));
        }
    }
    return text;
}

std::string fleet_owner::describe() const
{
    std::size_t runs = 0;
    std::size_t usable = 0;
    resources used;
    resources capacity;
    for (const worker_entry* worker : workers_.all())
    {
        runs += worker->runs.size();
        usable += workers_.is_usable(*worker, ports_.clock.now()) ? 1 : 0;
        used += worker->used;
        capacity += worker->registration.capacity;
    }
    return absl::StrCat(
        "token=",
        token_,
        " jobs=",
        jobs_.all().size(),
        " open=",
        jobs_.open().size(),
        " runs=",
        runs,
        " workers=",
        workers_.all().size(),
        " usable=",
        usable,
        " cores_used=",
        used.milli_processors / 1000,
        " of=",
        capacity.milli_processors / 1000,
        " questions=",
        dispatcher_.waiting_questions(),
        " median_ms=",
        absl::StrJoin(
            jobs_.queue_names(),
            ",",
            [this](std::string* out, const queue_name& name)
            {
                absl::StrAppend(
                    out,
                    name.str(),
                    ":",
                    planner_.speeds().typical(name).count());
            }),
        " speeds=",
        describe_speeds(),
        " evacuated=",
        absl::StrJoin(
            evacuated_,
            ",",
            [](std::string* out, const data_centre_name& name)
            { absl::StrAppend(out, name.str()); }));
}

} // namespace acaciastile::fleet
