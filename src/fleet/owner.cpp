#include "fleet/owner.hpp"

#include "fleet/answer_always.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <charconv>

namespace acaciastile::fleet
{

namespace
{

constexpr const char* progress_writer = "owner";

std::string text_of(const task_ref& task)
{
    return absl::StrCat(
        task.step.job.str(),
        ".",
        task.step.occurrence,
        ".",
        task.step.step,
        ".",
        task.index);
}

/// What callers hear when the owner ends before it could answer.
error owner_gone()
{
    return {
        refusal_code::no_owner,
        verdict::may_have_run,
        "the fleet is given to another VM",
        {}};
}

std::string text_of(milliseconds time)
{
    return std::to_string(time.count());
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
      jobs_(token),
      workers_(settings.workers),
      planner_(settings.planning),
      board_(settings.advice)
{
}

fleet_owner::~fleet_owner()
{
    board_.close();
}

void fleet_owner::later(milliseconds delay, void (fleet_owner::*work)())
{
    ports_.clock.after(
        delay, guarded([work](fleet_owner& self) { (self.*work)(); }));
}

void fleet_owner::start()
{
    const milliseconds longest(static_cast<milliseconds::rep>(
        static_cast<double>(settings_.workers.lease.count()) /
        settings_.workers.slowest_clock));
    // A predecessor may have extended leases until its claim was replaced.
    inherited_after_ = ports_.clock.now() + longest;
    fence();
}

void fleet_owner::fence()
{
    append_options options;
    options.by = {progress_writer, token_, sequence_};
    ports_.store.append(
        topics::progress,
        {},
        options,
        guarded(
            [](fleet_owner& self, const result<log_offset>& stored)
            {
                if (stored)
                {
                    ++self.sequence_;
                    self.load_jobs();
                    return;
                }
                if (stored.error().code == refusal_code::stale_epoch)
                {
                    self.ports_.step_down(
                        "fenced while loading: " + stored.error().message);
                    return;
                }
                self.later(self.settings_.store_retry, &fleet_owner::fence);
            }));
}

void fleet_owner::load_jobs()
{
    ports_.store.read_newest(
        topics::jobs,
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    self.later(
                        self.settings_.store_retry, &fleet_owner::load_jobs);
                    return;
                }
                self.jobs_next_ = page->end;
                for (const store_record& record : page->records)
                {
                    self.take_job(record, true);
                }
                self.load_progress();
            }));
}

void fleet_owner::load_progress()
{
    ports_.store.read_newest(
        topics::progress,
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    self.later(
                        self.settings_.store_retry,
                        &fleet_owner::load_progress);
                    return;
                }
                for (const store_record& record : page->records)
                {
                    const auto progress = decode_job_progress(record.value);
                    if (!progress)
                    {
                        self.ports_.events.emit(
                            {event_number::record_unreadable,
                             {{"topic", topics::progress},
                              {"job", record.key}}});
                        continue;
                    }
                    self.jobs_.restore(job_id(record.key), *progress);
                }
                self.load_registry();
            }));
}

void fleet_owner::load_registry()
{
    ports_.store.read_newest(
        ports_.foreign.registry_topic(),
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    self.later(
                        self.settings_.store_retry,
                        &fleet_owner::load_registry);
                    return;
                }
                self.registry_next_ = page->end;
                for (const store_record& record : page->records)
                {
                    self.take_registration(record);
                }
                for (const auto& [id, worker] : self.workers_.all())
                {
                    self.unheard_.insert(id);
                }
                self.loaded_ = true;
                self.ports_.events.emit(
                    {event_number::fleet_loaded,
                     {{"token", std::to_string(self.token_)},
                      {"jobs", std::to_string(self.jobs_.all().size())},
                      {"open", std::to_string(self.jobs_.open().size())},
                      {"workers",
                       std::to_string(self.workers_.all().size())}}});
                self.tail_jobs();
                self.later(self.settings_.clean_up, &fleet_owner::drop_ended);
                self.later(
                    self.settings_.registry_poll, &fleet_owner::poll_registry);
                self.wake();
            }));
}

void fleet_owner::take_job(const store_record& record, bool inherited)
{
    if (record.value.empty())
    {
        return; // A job that was forgotten.
    }
    auto job = decode_accepted_job(record.key, record.value);
    if (!job)
    {
        ports_.events.emit(
            {event_number::record_unreadable,
             {{"topic", topics::jobs}, {"job", record.key}}});
        return;
    }
    jobs_.add(*std::move(job), inherited, ports_.clock.now());
}

void fleet_owner::accept(accepted_job job)
{
    if (loaded_ && jobs_.add(std::move(job), false, ports_.clock.now()))
    {
        wake();
    }
}

void fleet_owner::tail_jobs()
{
    ports_.store.read(
        topics::jobs,
        jobs_next_,
        settings_.jobs_wait,
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (page)
                {
                    self.take_jobs(*page);
                    self.later(
                        self.settings_.jobs_pause, &fleet_owner::tail_jobs);
                    return;
                }
                if (page.error().code == refusal_code::offset_expired)
                {
                    // The newest record of each key is kept for good, so a
                    // reload misses no job.
                    self.ports_.store.read_newest(
                        topics::jobs,
                        self.guarded(
                            [](fleet_owner& again,
                               const result<store_page>& newest)
                            {
                                if (newest)
                                {
                                    again.take_jobs(*newest);
                                }
                                again.later(
                                    again.settings_.store_retry,
                                    &fleet_owner::tail_jobs);
                            }));
                    return;
                }
                self.later(self.settings_.store_retry, &fleet_owner::tail_jobs);
            }));
}

void fleet_owner::take_jobs(const store_page& page)
{
    for (const store_record& record : page.records)
    {
        take_job(record, false);
    }
    jobs_next_ = std::max(jobs_next_, page.end);
    if (!page.records.empty())
    {
        wake();
    }
}

void fleet_owner::read_jobs_now(std::function<void(const result<void>&)> done)
{
    if (!loaded_)
    {
        done(refuse(refusal_code::no_owner, "the owner is loading"));
        return;
    }
    ports_.store.read(
        topics::jobs,
        jobs_next_,
        milliseconds::zero(),
        guarded(
            [done = std::move(done)](
                fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    done(tl::unexpected(page.error()));
                    return;
                }
                self.take_jobs(*page);
                done({});
            }));
}

void fleet_owner::take_registration(const store_record& record)
{
    if (record.value.empty())
    {
        workers_.unlist(worker_id(record.key));
        return;
    }
    const auto about =
        ports_.foreign.read_registration(record.key, record.value);
    if (!about)
    {
        return; // Entries of other writers name no worker.
    }
    const worker_entry* before = workers_.find(about->id);
    const bool was_draining = before != nullptr && before->about.draining;
    if (workers_.upsert(*about))
    {
        worker_entry* worker = workers_.find(about->id);
        worker->sealed = false; // A new life has not seen the token.
        worker->next_hold = {};
    }
    if (about->draining && !was_draining)
    {
        ports_.events.emit(
            {event_number::worker_draining,
             {{"worker", about->id.str()},
              {"offset", std::to_string(record.offset)}}});
    }
}

void fleet_owner::poll_registry()
{
    ports_.store.read(
        ports_.foreign.registry_topic(),
        registry_next_,
        milliseconds::zero(),
        guarded(
            [](fleet_owner& self, const result<store_page>& page)
            {
                if (page)
                {
                    for (const store_record& record : page->records)
                    {
                        self.take_registration(record);
                    }
                    self.registry_next_ = page->end;
                    self.wake();
                }
                else if (page.error().code == refusal_code::offset_expired)
                {
                    const std::string& first = page.error().message;
                    std::from_chars(
                        first.data(),
                        first.data() + first.size(),
                        self.registry_next_);
                }
                self.later(
                    self.settings_.registry_poll, &fleet_owner::poll_registry);
            }));
}

bool fleet_owner::inherited_may_start()
{
    if (inherited_cleared_)
    {
        return true;
    }
    std::erase_if(
        unheard_,
        [&](const worker_id& id)
        {
            const worker_entry* worker = workers_.find(id);
            return worker == nullptr || worker->sealed;
        });
    inherited_cleared_ =
        unheard_.empty() || ports_.clock.now() >= inherited_after_;
    return inherited_cleared_;
}

// Rounds.

void fleet_owner::wake()
{
    if (round_planned_ || !loaded_)
    {
        return;
    }
    round_planned_ = true;
    const milliseconds since = ports_.clock.now() - last_round_;
    later(
        std::max(
            milliseconds::zero(),
            std::max(
                settings_.round, round_cost_ * settings_.rest_after_round) -
                since),
        &fleet_owner::run_round);
}

void fleet_owner::run_round()
{
    round_planned_ = false;
    const instant now = ports_.clock.now();
    last_round_ = now;
    jobs_.open_due(ports_.clock.wall(), now);
    check_lapsed();
    check_company();
    if (!handing_over_)
    {
        const plan decided = planner_.decide(
            jobs_, workers_, ports_.config(), now, inherited_may_start());
        for (const ask_decision& question : decided.asks)
        {
            board_.add(question);
        }
        for (const start_decision& decision : decided.starts)
        {
            execute(decision);
        }
    }
    turn_board();
    hold_workers();
    flush();
    last_round_ = ports_.clock.now();
    round_cost_ = last_round_ - now;
    if (idle_due_ <= now)
    {
        idle_due_ = now + settings_.idle_round;
        ports_.clock.after(
            settings_.idle_round,
            guarded([](fleet_owner& self) { self.wake(); }));
    }
}

void fleet_owner::check_company()
{
    if (visited_ != instant::max() &&
        ports_.clock.now() - visited_ > settings_.alone_after)
    {
        visited_ = instant::max();
        ports_.yield("no other VM has reached this one for a while");
    }
}

void fleet_owner::turn_board()
{
    const instant now = ports_.clock.now();
    for (const ask_decision& overdue : board_.turn(now))
    {
        planner_.note_no_answer(jobs_, overdue.step, now);
        ports_.events.emit(
            {event_number::advice_missing,
             {{"job", overdue.step.job.str()},
              {"step", std::to_string(overdue.step.step)},
              {"reason", "no VM brought an answer in time"}}});
    }
}

void fleet_owner::execute(const start_decision& decision)
{
    ports_.metrics.count("fleet_starts", "", 1);
    ports_.events.emit(
        {event_number::run_started,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"resumes", decision.checkpoint.empty() ? "no" : "yes"}}});
    send_start(decision, false);
}

void fleet_owner::send_start(const start_decision& decision, bool again)
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
    const instant now = ports_.clock.now();
    ports_.orders.start(
        worker->address(),
        token_,
        workers_.extend_lease(*worker, now),
        std::move(order),
        guarded([decision, again, now](
                    fleet_owner& self, const result<start_answer>& answer)
                { self.on_start_answer(decision, again, now, answer); }));
}

void fleet_owner::on_start_answer(
    const start_decision& decision,
    bool again,
    instant asked,
    const result<start_answer>& answer)
{
    worker_entry* worker = workers_.find(decision.worker);
    if (worker == nullptr)
    {
        return;
    }
    const auto at = worker->runs.find(decision.task);
    if (at == worker->runs.end() || at->second.run != decision.run)
    {
        return; // Its end was listed before.
    }
    const instant now = ports_.clock.now();
    run_entry& run = at->second;
    if (answer)
    {
        if (answer->clock)
        {
            workers_.note_clock(*worker, *answer->clock, asked, now);
        }
        if (answer->refusal)
        {
            if (*answer->refusal != start_refusal::fenced &&
                (again || *answer->refusal == start_refusal::superseded))
            {
                // The first try may have run, have ended or come later.
                leave_open(*worker, run, now);
                return;
            }
            refuse_start(decision, *worker, *answer->refusal);
            wake();
            return;
        }
        if (run.state != run_entry::phase::stopping)
        {
            run.state = run_entry::phase::running;
        }
        run.confirmed = now;
        ports_.metrics.sample(
            "fleet_start_ms", "", static_cast<double>((now - asked).count()));
        hold_workers();
        return;
    }
    ports_.events.emit(
        {event_number::start_unanswered,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"verdict", std::string(to_string(answer.error().effect))},
          {"reason", answer.error().message}}});
    if (answer.error().effect == verdict::not_run &&
        run.state == run_entry::phase::starting && !again)
    {
        worker->reachable = false;
        worker->next_hold = now;
        withdraw(decision, "the worker could not be reached");
        wake();
        return;
    }
    if (!again && run.state == run_entry::phase::starting)
    {
        // The same run twice on one worker is one run.
        send_start(decision, true);
        return;
    }
    worker->reachable = false;
    leave_open(*worker, run, now);
}

void fleet_owner::leave_open(worker_entry& worker, run_entry& run, instant now)
{
    if (run.state == run_entry::phase::starting)
    {
        run.state = run_entry::phase::uncertain;
        run.confirmed = now;
    }
    worker.next_hold = now;
    wake();
}

void fleet_owner::withdraw(
    const start_decision& decision, std::string_view reason)
{
    worker_entry* worker = workers_.find(decision.worker);
    if (worker != nullptr)
    {
        workers_.remove_run(*worker, decision.task, decision.run);
    }
    jobs_.undo_run(decision.task, decision.run);
    const job_entry* job = jobs_.find(decision.task.step.job);
    if (job != nullptr && job->spec(decision.task.step).gang)
    {
        stop_gang(decision.task.step, reason);
    }
}

void fleet_owner::refuse_start(
    const start_decision& decision, worker_entry& worker, start_refusal why)
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
    const instant now = ports_.clock.now();
    ports_.events.emit(
        {event_number::start_refused,
         {{"task", text_of(decision.task)},
          {"run", std::to_string(decision.run)},
          {"worker", decision.worker.str()},
          {"reason", names[static_cast<std::size_t>(why)]}}});
    ports_.metrics.count(
        "fleet_starts_refused", names[static_cast<std::size_t>(why)], 1);
    withdraw(decision, "a member of the gang was refused");
    worker.next_hold = now;
    switch (why)
    {
    case start_refusal::fenced:
        ports_.step_down("worker " + decision.worker.str() + " fenced a start");
        return;
    case start_refusal::permit:
        if (step_entry* step = jobs_.find(decision.task.step))
        {
            step->permits.allowed[worker.about.id].until = {};
        }
        return;
    case start_refusal::no_room:
    case start_refusal::unhealthy:
    case start_refusal::malformed:
        worker.quarantined_until = now + settings_.unhealthy_pause;
        return;
    case start_refusal::other_incarnation:
        worker.sealed = false;
        return;
    case start_refusal::superseded:
    case start_refusal::too_late:
        return; // The next call tells how the worker's clock stands.
    }
}

// Workers.

void fleet_owner::hold_workers()
{
    const instant now = ports_.clock.now();
    for (const auto& [id, worker] : workers_.all())
    {
        const bool wanted = !worker->sealed || !worker->reachable ||
                            !worker->runs.empty() ||
                            worker->processed > worker->told;
        if (wanted && !worker->hold_in_flight && worker->next_hold <= now &&
            (worker->listed || !worker->runs.empty()))
        {
            hold(*worker);
        }
    }
}

void fleet_owner::hold(worker_entry& worker)
{
    const instant now = ports_.clock.now();
    worker.hold_in_flight = true;
    std::optional<worker_instant> lease;
    // An unanswered call may still extend the lease, which would put off the
    // moment from which the runs of a silent worker have surely ended.
    if (worker.sealed && worker.reachable && !worker.runs.empty())
    {
        lease = workers_.extend_lease(worker, now);
    }
    const bool unsettled =
        !worker.reachable || !worker.sealed ||
        worker.processed > worker.acknowledged ||
        std::any_of(
            worker.runs.begin(),
            worker.runs.end(),
            [](const auto& each)
            {
                return each.second.state == run_entry::phase::uncertain ||
                       each.second.state == run_entry::phase::stopping;
            });
    const milliseconds wait =
        unsettled ? milliseconds::zero() : settings_.hold_wait;
    worker.next_hold =
        now + (unsettled ? settings_.hold_retry : milliseconds::zero());
    ports_.metrics.count("fleet_holds", "", 1);
    ports_.orders.hold(
        worker.address(),
        token_,
        worker.acknowledged,
        lease,
        wait,
        guarded([id = worker.about.id, now, forgets = worker.acknowledged](
                    fleet_owner& self, const result<worker_status>& told)
                { self.on_hold(id, now, forgets, told); }));
}

void fleet_owner::on_hold(
    const worker_id& id,
    instant asked,
    std::uint64_t forgets,
    const result<worker_status>& told)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    const instant now = ports_.clock.now();
    worker->hold_in_flight = false;
    if (told)
    {
        if (!worker->reachable)
        {
            worker->reachable = true;
            ports_.events.emit(
                {event_number::worker_regained, {{"worker", id.str()}}});
        }
        worker->told = std::max(worker->told, forgets);
        take_status(*worker, asked, *told);
        wake();
        return;
    }
    if (told.error().code == refusal_code::stale_epoch)
    {
        ports_.step_down("worker " + id.str() + " fenced a call");
        return;
    }
    if (worker->reachable)
    {
        worker->reachable = false;
        ports_.events.emit(
            {event_number::worker_silent,
             {{"worker", id.str()},
              {"runs", std::to_string(worker->runs.size())},
              {"lease_left_ms",
               text_of(
                   worker->lapsed_at == instant::max()
                       ? milliseconds::zero()
                       : worker->lapsed_at - now)},
              {"reason", told.error().message}}});
    }
    worker->next_hold = now + settings_.hold_retry;
    ports_.clock.after(
        settings_.hold_retry, guarded([](fleet_owner& self) { self.wake(); }));
}

void fleet_owner::take_status(
    worker_entry& worker, instant asked, const worker_status& status)
{
    const instant now = ports_.clock.now();
    std::set<std::pair<task_ref, run_number>> listed;
    for (const running_run& each : status.running)
    {
        listed.emplace(each.task, each.run);
    }
    if (status.incarnation != worker.about.incarnation)
    {
        if (worker.sealed || !worker.runs.empty())
        {
            ports_.events.emit(
                {event_number::worker_restarted,
                 {{"worker", worker.about.id.str()},
                  {"runs", std::to_string(worker.runs.size())}}});
        }
        lose_runs(worker, listed, "the worker started anew");
        worker.about.incarnation = status.incarnation;
        worker.processed = 0;
        worker.acknowledged = 0;
        worker.told = 0;
        worker.clock = {};
        worker.clock_asked = {};
        worker.lease_until = {};
        worker.quarantined_until = {};
        worker.failures_in_row = 0;
    }
    if (!worker.sealed)
    {
        worker.sealed = true;
        ports_.events.emit(
            {event_number::fleet_worker_sealed,
             {{"worker", worker.about.id.str()},
              {"running", std::to_string(status.running.size())},
              {"ended", std::to_string(status.ended.size())}}});
    }
    workers_.note_clock(worker, status.clock, asked, now);
    for (const running_run& each : status.running)
    {
        take_running(worker, each);
    }
    for (const ended_run& each : status.ended)
    {
        if (each.number > worker.processed)
        {
            take_end(worker, each);
            worker.processed = each.number;
        }
    }
    settle_missing(worker, asked, status);
}

void fleet_owner::take_running(worker_entry& worker, const running_run& running)
{
    const auto at = worker.runs.find(running.task);
    if (at != worker.runs.end() && at->second.run == running.run)
    {
        run_entry& run = at->second;
        run.percent = running.percent;
        if (!running.checkpoint.empty())
        {
            run.checkpoint = running.checkpoint;
        }
        if (run.state == run_entry::phase::uncertain)
        {
            run.state = run_entry::phase::running;
        }
        return;
    }
    if (at != worker.runs.end())
    {
        return; // An older run of the same task; its end will be listed.
    }
    const job_entry* job = jobs_.find(running.task.step.job);
    run_entry run;
    run.task = running.task;
    run.run = running.run;
    run.checkpoint = running.checkpoint;
    run.state = run_entry::phase::running;
    run.started = ports_.clock.now();
    if (job != nullptr &&
        running.task.step.step < job->job.request.steps.size())
    {
        run.needs = room_of(job->spec(running.task.step));
        run.account = job->job.account;
    }
    const bool ours = jobs_.adopt_run(
        running.task, running.run, worker.about.id, running.checkpoint);
    workers_.add_run(worker, std::move(run));
    if (!ours)
    {
        stop_run(
            worker, worker.runs.at(running.task), "nothing asks for this run");
    }
}

void fleet_owner::take_end(worker_entry& worker, const ended_run& ended)
{
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
             {{"worker", worker.about.id.str()},
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
    workers_.remove_run(worker, task, run);
    const end_effect effect = jobs_.take_end(
        task,
        run,
        how,
        checkpoint,
        attempts_of(task.step.job),
        ports_.clock.now(),
        ports_.clock.wall());
    ports_.metrics.count("fleet_ends", names[static_cast<std::size_t>(how)], 1);
    ports_.events.emit(
        {event_number::run_ended,
         {{"task", text_of(task)},
          {"run", std::to_string(run)},
          {"worker", worker.about.id.str()},
          {"how", names[static_cast<std::size_t>(how)]},
          {"effect", std::to_string(static_cast<int>(effect))}}});
    if (effect == end_effect::job_failed)
    {
        stop_job(*jobs_.find(task.step.job), "the job has failed");
    }
}

std::uint32_t fleet_owner::attempts_of(const job_id& id)
{
    const job_entry* job = jobs_.find(id);
    if (job == nullptr)
    {
        return 1;
    }
    const queue_settings& queue = terms_of(ports_.config(), job->job);
    return std::max<std::uint32_t>(1, queue.attempts);
}

void fleet_owner::settle_missing(
    worker_entry& worker, instant asked, const worker_status& status)
{
    // A worker lists at most 500 ends at a time; the rest come later.
    constexpr std::size_t full_list = 500;
    if (status.ended.size() >= full_list)
    {
        return;
    }
    std::set<std::pair<task_ref, run_number>> listed;
    for (const running_run& each : status.running)
    {
        listed.emplace(each.task, each.run);
    }
    std::vector<std::pair<task_ref, run_number>> gone;
    std::vector<task_ref> to_stop;
    for (auto& [task, run] : worker.runs)
    {
        if (listed.contains({task, run.run}))
        {
            continue;
        }
        switch (run.state)
        {
        case run_entry::phase::starting:
            break;
        case run_entry::phase::uncertain:
            if (asked >= run.confirmed)
            {
                to_stop.push_back(task);
            }
            break;
        case run_entry::phase::running:
            if (asked > run.confirmed)
            {
                gone.emplace_back(task, run.run);
            }
            break;
        case run_entry::phase::stopping:
            if (run.stop_answered && asked > *run.stop_answered)
            {
                gone.emplace_back(task, run.run);
            }
            break;
        }
    }
    for (const task_ref& task : to_stop)
    {
        stop_run(worker, worker.runs.at(task), "its start was not answered");
    }
    for (const auto& [task, run] : gone)
    {
        end_run(worker, task, run, run_end::stopped, {});
    }
}

void fleet_owner::lose_runs(
    worker_entry& worker,
    const std::set<std::pair<task_ref, run_number>>& kept,
    std::string_view reason)
{
    std::vector<std::pair<task_ref, run_number>> lost;
    for (const auto& [task, run] : worker.runs)
    {
        if (!kept.contains({task, run.run}))
        {
            lost.emplace_back(task, run.run);
        }
    }
    for (const auto& [task, run] : lost)
    {
        ports_.events.emit(
            {event_number::run_lost,
             {{"task", text_of(task)},
              {"run", std::to_string(run)},
              {"worker", worker.about.id.str()},
              {"reason", std::string(reason)}}});
        end_run(worker, task, run, run_end::lapsed, {});
    }
}

void fleet_owner::check_lapsed()
{
    const instant now = ports_.clock.now();
    for (const auto& [id, worker] : workers_.all())
    {
        if (!worker->reachable && !worker->runs.empty() &&
            worker->lapsed_at <= now)
        {
            lose_runs(*worker, {}, "its lease has ended");
        }
    }
}

void fleet_owner::stop_run(
    worker_entry& worker, run_entry& run, std::string_view why)
{
    if (run.state == run_entry::phase::stopping)
    {
        return;
    }
    run.state = run_entry::phase::stopping;
    ports_.events.emit(
        {event_number::run_stopped,
         {{"task", text_of(run.task)},
          {"run", std::to_string(run.run)},
          {"worker", worker.about.id.str()},
          {"reason", std::string(why)}}});
    send_stop(worker.about.id, run.task, run.run);
}

void fleet_owner::send_stop(
    const worker_id& id, const task_ref& task, run_number number)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    ports_.orders.stop(
        worker->address(),
        token_,
        task,
        number,
        guarded(
            [id, task, number](
                fleet_owner& self, const result<worker_instant>& answer)
            {
                worker_entry* there = self.workers_.find(id);
                if (there == nullptr)
                {
                    return;
                }
                const auto at = there->runs.find(task);
                if (at == there->runs.end() || at->second.run != number)
                {
                    return;
                }
                if (answer)
                {
                    at->second.stop_answered = self.ports_.clock.now();
                    there->next_hold = {};
                    self.wake();
                    return;
                }
                if (answer.error().code == refusal_code::stale_epoch)
                {
                    self.ports_.step_down(
                        "worker " + id.str() + " fenced a stop");
                    return;
                }
                self.ports_.clock.after(
                    self.settings_.hold_retry,
                    self.guarded([id, task, number](fleet_owner& again)
                                 { again.send_stop(id, task, number); }));
            }));
}

void fleet_owner::stop_job(const job_entry& job, std::string_view why)
{
    for (const auto& steps : job.occurrences)
    {
        for (const step_entry& step : steps)
        {
            stop_gang(step.id, why);
        }
    }
}

void fleet_owner::stop_gang(const step_id& id, std::string_view why)
{
    step_entry* step = jobs_.find(id);
    if (step == nullptr)
    {
        return;
    }
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index)
    {
        const task_entry& task = step->tasks[index];
        worker_entry* worker = workers_.find(task.worker);
        if (task.state != task_entry::phase::active || worker == nullptr)
        {
            continue;
        }
        const auto at = worker->runs.find({id, index});
        if (at != worker->runs.end() && at->second.run == task.run)
        {
            stop_run(*worker, at->second, why);
        }
    }
}

// Callers and peers.

void fleet_owner::look_up(const job_id& id, completion<job_view> done)
{
    if (const job_entry* job = jobs_.find(id); job != nullptr && loaded_)
    {
        done(job_view{true, job->shown});
        return;
    }
    done = answer_always(std::move(done), owner_gone());
    read_jobs_now(
        [this, id, done = std::move(done)](const result<void>& read)
        {
            if (!read)
            {
                done(tl::unexpected(read.error()));
                return;
            }
            const job_entry* job = jobs_.find(id);
            done(job == nullptr ? job_view{} : job_view{true, job->shown});
        });
}

std::size_t fleet_owner::pending(const queue_name& queue) const
{
    return jobs_.pending(queue);
}

void fleet_owner::cancel(const job_id& id, completion<bool> done)
{
    done = answer_always(std::move(done), owner_gone());
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
                done(false);
            }
            else
            {
                cancel_known(*job, done);
            }
        });
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
    wake();
}

void fleet_owner::come_for_work(
    const instance_id& vm, milliseconds wait, advice_board::taker give)
{
    const instant now = ports_.clock.now();
    if (vm != settings_.vm)
    {
        visited_ = now;
    }
    board_.come(vm, now, now + wait, std::move(give));
    turn_board();
}

void fleet_owner::take_answer(
    const instance_id& vm,
    const step_id& step,
    const std::optional<permits>& answer,
    milliseconds age)
{
    const auto question = board_.finish(vm, step);
    if (!question)
    {
        return; // It was given to another VM meanwhile.
    }
    const instant now = ports_.clock.now();
    if (!answer)
    {
        planner_.note_no_answer(jobs_, step, now + settings_.advice_retry);
        ports_.events.emit(
            {event_number::advice_missing,
             {{"job", step.job.str()},
              {"step", std::to_string(step.step)},
              {"reason", "the policy service gave no answer to " + vm.str()}}});
        wake();
        return;
    }
    planner_.note_answer(
        jobs_,
        workers_,
        step,
        question->workers,
        *answer,
        now - age - settings_.permit_travel + answer->valid);
    ports_.events.emit(
        {event_number::advice_taken,
         {{"job", step.job.str()},
          {"step", std::to_string(step.step)},
          {"asked", std::to_string(question->workers.size())},
          {"allowed", std::to_string(answer->allowed.size())},
          {"age_ms", text_of(age)},
          {"vm", vm.str()}}});
    wake();
}

// Progress.

struct fleet_owner::flush_batch
{
    std::vector<store_record> records;
    std::vector<std::pair<job_id, job_state>> states;
    struct taken_ends
    {
        worker_id worker;
        std::uint64_t incarnation = 0;
        std::uint64_t last = 0;
    };
    std::vector<taken_ends> ends;
    std::vector<std::function<void()>> waiters;
    std::uint64_t sequence = 0;
};

void fleet_owner::flush()
{
    const instant now = ports_.clock.now();
    if (flushing_ || now < next_flush_)
    {
        if (!flushing_ && jobs_.has_changes())
        {
            ports_.clock.after(
                next_flush_ - now,
                guarded([](fleet_owner& self) { self.flush(); }));
        }
        return;
    }
    auto batch = std::make_shared<flush_batch>();
    for (const job_entry* job : jobs_.take_changed())
    {
        batch->records.push_back(
            {0, job->job.id.str(), encode(jobs_.progress_of(*job))});
        batch->states.emplace_back(job->job.id, job->state);
    }
    for (const auto& [id, worker] : workers_.all())
    {
        if (worker->processed > worker->acknowledged)
        {
            batch->ends.push_back(
                {id, worker->about.incarnation, worker->processed});
        }
    }
    batch->waiters.swap(after_flush_);
    if (batch->records.empty())
    {
        on_stored(batch);
        return;
    }
    flushing_ = true;
    next_flush_ = now + settings_.flush;
    batch->sequence = sequence_++;
    send_batch(batch);
}

void fleet_owner::send_batch(const std::shared_ptr<flush_batch>& batch)
{
    append_options options;
    options.by = {progress_writer, token_, batch->sequence};
    ports_.store.append(
        topics::progress,
        batch->records,
        options,
        guarded(
            [batch](fleet_owner& self, const result<log_offset>& stored)
            {
                if (stored)
                {
                    self.flushing_ = false;
                    if (self.store_lost_)
                    {
                        self.store_lost_ = false;
                        self.ports_.events.emit(
                            {event_number::store_regained,
                             {{"topic", topics::progress}}});
                    }
                    self.on_stored(batch);
                    self.wake();
                    return;
                }
                if (stored.error().code == refusal_code::stale_epoch)
                {
                    self.ports_.step_down(
                        "progress was fenced: " + stored.error().message);
                    return;
                }
                if (!self.store_lost_)
                {
                    self.store_lost_ = true;
                    self.ports_.events.emit(
                        {event_number::store_lost,
                         {{"topic", topics::progress},
                          {"reason", stored.error().message}}});
                }
                // The same sequence number again: a repeat of an append that
                // was carried out gets the first answer.
                self.ports_.clock.after(
                    self.settings_.store_retry,
                    self.guarded([batch](fleet_owner& again)
                                 { again.send_batch(batch); }));
            }));
}

void fleet_owner::on_stored(const std::shared_ptr<flush_batch>& batch)
{
    for (const auto& [id, state] : batch->states)
    {
        if (job_entry* job = jobs_.find(id))
        {
            job->shown = state;
            if (job->is_final())
            {
                ended_jobs_.push_back(id);
            }
        }
    }
    for (const flush_batch::taken_ends& each : batch->ends)
    {
        worker_entry* worker = workers_.find(each.worker);
        if (worker != nullptr && worker->about.incarnation == each.incarnation)
        {
            worker->acknowledged = std::max(worker->acknowledged, each.last);
            worker->next_hold = {};
        }
    }
    for (const auto& waiter : batch->waiters)
    {
        waiter();
    }
}

void fleet_owner::drop_ended()
{
    std::vector<store_record> dropped;
    for (const job_id& id : ended_jobs_)
    {
        dropped.push_back({0, id.str(), {}});
    }
    ended_jobs_.clear();
    if (!dropped.empty())
    {
        // Where this fails, the next owner loads a few requests more.
        ports_.store.append(
            topics::jobs, dropped, {}, [](const result<log_offset>&) {});
    }
    sweep();
    later(settings_.clean_up, &fleet_owner::drop_ended);
}

void fleet_owner::sweep()
{
    std::vector<store_record> dropped;
    for (const job_id& id :
         jobs_.forget_ended(ports_.clock.wall() - settings_.status_kept))
    {
        dropped.push_back({0, id.str(), {}});
    }
    if (!dropped.empty())
    {
        // A record that stays is dropped again by the next owner.
        ports_.store.append(
            topics::progress, dropped, {}, [](const result<log_offset>&) {});
    }
}

void fleet_owner::hand_over(std::function<void()> done)
{
    handing_over_ = true;
    if (!loaded_ || (!flushing_ && !jobs_.has_changes()))
    {
        ended_ = true;
        board_.close();
        done();
        return;
    }
    after_flush_.push_back(
        [weak = weak_from_this(), done = std::move(done)]
        {
            if (const auto self = weak.lock())
            {
                self->hand_over(done);
            }
        });
    wake();
}

std::string fleet_owner::describe() const
{
    std::size_t runs = 0;
    std::size_t usable = 0;
    resources used;
    resources capacity;
    for (const auto& [id, worker] : workers_.all())
    {
        runs += worker->runs.size();
        usable += workers_.is_usable(*worker, ports_.clock.now()) ? 1 : 0;
        used += worker->used;
        capacity += worker->about.capacity;
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
        board_.waiting_questions());
}

} // namespace acaciastile::fleet
