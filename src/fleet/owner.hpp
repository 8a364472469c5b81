#pragma once

#include "domain/event_sink.hpp"
#include "domain/metric_sink.hpp"
#include "fleet/absent_worker_table.hpp"
#include "fleet/advice_dispatcher.hpp"
#include "fleet/evacuations.hpp"
#include "fleet/job_tracker.hpp"
#include "fleet/noted_run_table.hpp"
#include "fleet/planner.hpp"
#include "fleet/poll_schedule.hpp"
#include "fleet/ports.hpp"
#include "fleet/presumed_ends.hpp"
#include "fleet/unseen_cancel_table.hpp"
#include "fleet/unsettled_orders.hpp"
#include "fleet/worker_table.hpp"

#include <absl/container/flat_hash_set.h>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace acaciastile::fleet
{

/// Topics of the metadata store that the owner writes or reads.
namespace topics
{
/// Accepted jobs, keyed by job id. The store handles the appends to one topic
/// one after the other, so jobs are spread over several while it is slow. A job
/// that was sent again may be in more than one.
inline constexpr std::array<const char*, 4> job_topics{
    "keyed.jobs", "keyed.jobs-1", "keyed.jobs-2", "keyed.jobs-3"};
/// The topic in which jobs are stored first.
inline constexpr const char* jobs = job_topics.front();
/// Progress of jobs, keyed by job id, records of absent workers and of noted
/// runs, and the record `removals_noted`.
inline constexpr const char* progress = "keyed.progress";
/// Key of the record in `progress` that holds an offset of the registry. Of
/// each worker that was removed before it, every run that may be left is in a
/// record of absence.
inline constexpr const char* removals_noted = "removals-noted";
/// Key of the record in `progress` with the learnt speeds of workers.
inline constexpr const char* worker_speeds = "worker-speeds";
/// Writer name of the owner's appends to `progress`. The writer's epoch is the
/// owner's fencing token.
inline constexpr const char* progress_writer = "owner";
} // namespace topics

/// How many of the latest records of the registry's log a new owner scans for
/// workers whose registration expired, unless it has to go further back to
/// reach the offset in `topics::removals_noted`. Covers about 10 s of updates
/// from 350 workers and fits into one response of the store.
inline constexpr log_offset registry_lookback_records = 2'500;
/// How many records of the registry's log a new owner scans at most.
inline constexpr log_offset max_registry_lookback_records = 10'000;

/// Placeholder for workers whose ids are unknown because the registry's
/// history could not be read. It is never sealed, so a new owner waits for the
/// predecessor's leases to expire.
inline constexpr const char* unknown_worker_id = "?";

/// How many unreadable entries of the registry under keys of no known worker
/// are tracked one by one. With more of them a new owner waits for the leases
/// of its predecessor to end, as it does for a worker that it cannot reach.
inline constexpr std::size_t max_unreadable_keys = 256;

/// How old a count of waiting jobs may be when a caller gets it, as the users'
/// interface states. An older one is refused.
inline constexpr milliseconds longest_count_age{2'000};

struct owner_settings
{
    instance_id vm; ///< The VM that this owner runs on.
    worker_table_settings workers;
    planner_settings planning;
    advice_dispatcher_settings advice;
    /// Minimum time between two scheduling rounds.
    milliseconds round_interval{5};
    /// Minimum pause after a round, as a multiple of the time that planning
    /// took, so that long queues leave the control thread time for other work.
    /// The orders that a round sends are needed work and do not count.
    int round_pause_factor = 4;
    /// Time between two rounds when no event triggers one.
    milliseconds idle_round_interval{250};
    /// Minimum time between two appends of progress. The end of a run counts as
    /// known 100 ms after its worker reports it, so it should be stored by
    /// then.
    milliseconds flush_interval{25};
    /// Time between two reads of the registry. A worker that announces that it
    /// is draining must get no new tasks after 2 s.
    milliseconds registry_poll_interval{300};
    /// Long-poll timeout of a read of the jobs topic.
    milliseconds jobs_read_wait{1'000};
    /// Minimum time between two reads of the jobs topic. VMs pass most jobs to
    /// the owner directly; the topic supplies the others.
    milliseconds jobs_read_interval{150};
    /// Long-poll timeout of a status poll (`worker_orders::hold`).
    milliseconds status_poll_wait{1'000};
    /// As above, while a renewal of the ownership is overdue: shorter, as the
    /// answers then have to show that this VM still owns the fleet.
    milliseconds status_poll_wait_unconfirmed{250};
    /// How long an append that the store has taken under this owner's token
    /// confirms the ownership. A successor waits for one lease and this time
    /// after it has loaded, so leases extended within it end before it goes on.
    milliseconds store_confirmation{1'000};
    /// A renewal that is not taken after this time is overdue. Renewals are
    /// sent every 0.5 s, and a slow store takes 0.24 s.
    milliseconds renewal_overdue{800};
    /// How long an answer to a status poll counts as evidence that the worker
    /// has not been sealed by a successor. Less than `store_confirmation` by
    /// the time that a successor takes to seal the workers it reaches.
    milliseconds worker_confirmation{700};
    /// Delay before the next call to a worker that did not answer, or that has
    /// runs or ends whose state is not settled yet.
    milliseconds worker_retry_delay{150};
    /// After a worker reported an end, the next status poll waits until the end
    /// is stored, which takes about 30 ms, but at most for this time. The poll
    /// can then acknowledge the end.
    milliseconds end_ack_wait{60};
    /// Delay before a failed call to the store is retried.
    milliseconds store_retry_delay{120};
    /// Delay before a question that the policy service did not answer is asked
    /// again.
    milliseconds advice_retry_delay{150};
    /// Deducted from a permit's validity, which starts when the policy service
    /// sends its answer: the assumed network latency of that answer.
    milliseconds permit_transit_time{20};
    /// How long a worker gets no starts after it refused one as unhealthy, for
    /// lack of room or, if no other worker did so, as malformed.
    milliseconds refused_start_pause{400};
    /// Other VMs request work every 0.7 s. An owner that has had such requests
    /// gives up ownership when none arrives for this long.
    milliseconds isolation_timeout{2'000};
    /// How long the state of an ended job can be queried.
    milliseconds status_kept{120'000};
    /// Cancellations of jobs without a stored request that are kept for that
    /// time. Further ones are refused, as they would not hold.
    std::size_t max_unseen_cancels = 20'000;
    /// How far the wall clocks of two VMs may be apart. If the owner changes
    /// more often than every `status_kept`, an ended job is kept for up to this
    /// time longer.
    milliseconds wall_clock_error{300'000};
    /// Waiting jobs are counted from what is known if that is no older; else
    /// the store is read first.
    milliseconds count_without_read{1'000};
    /// An older count is not given: the rest of `longest_count_age` is for its
    /// way to the caller.
    milliseconds oldest_count{1'500};
    /// A topic of jobs that is not read to its end for longer is logged.
    milliseconds report_unread_jobs_after{2'500};
    /// Time between two records of the learnt speeds of workers. A successor
    /// learns anew what the last one does not tell.
    milliseconds speeds_interval{5'000};
    /// Time after which a load that is not done is logged, again and again. A
    /// successor usually starts tasks within it.
    milliseconds load_report_interval{2'000};
    /// Time between two deletions of obsolete records from the store's topics.
    milliseconds cleanup_interval{2'000};
};

/// Interfaces that the owner uses. The referenced objects must outlive it.
struct owner_ports
{
    metadata_store& store;
    worker_orders& orders;
    external_records& foreign;
    scheduler_clock& clock;
    event_sink& events;
    metric_sink& metrics;
    operator_requests& operators;
    std::function<const configuration&()> config;
    /// Called with a reason when a worker or the store rejects this owner's
    /// token as stale.
    std::function<void(std::string)> step_down;
    /// Called with a reason when another VM should take over ownership.
    std::function<void(std::string)> yield;
};

/// State of a job as reported to callers.
struct job_view
{
    bool known = false;
    job_state state = job_state::queued;
};

/// Number of a queue's jobs that wait, and what it rests on.
struct waiting_count
{
    std::size_t waiting =
        0; ///< Jobs of which no task is known to have started.
    /// Every job that was stored longer ago is counted, and every start that
    /// was reported longer ago is known.
    milliseconds age{0};
    /// How long the owner held the request; part of `age` if it read the store.
    milliseconds held{0};
};

class run_list_text;
struct registry_history;

/// Schedules the whole fleet while this VM owns it: tracks accepted jobs and
/// registered workers, starts and stops runs, processes their ends and stores
/// progress. A new instance is created each time a VM gains ownership. All
/// calls must be made on the control thread.
class fleet_owner : public std::enable_shared_from_this<fleet_owner>
{
public:
    [[nodiscard]] static std::shared_ptr<fleet_owner>
    create(owner_settings settings, owner_ports ports, std::uint64_t token);
    ~fleet_owner();

    /// Fences the previous owner, loads the stored state and seals the workers.
    /// A worker is sealed once it has answered a status poll with this owner's
    /// token: from then on it rejects orders with lower tokens.
    void start();

    /// True once the stored state has been loaded.
    [[nodiscard]] bool loaded() const noexcept { return loaded_; }
    /// Fencing token of this ownership; a later owner has a higher one.
    [[nodiscard]] std::uint64_t token() const noexcept { return token_; }

    /// Reports the last stored state of a job. Reads the jobs topic first if
    /// the job is unknown. Errors: those of that read, such as
    /// `log_unavailable`; `no_owner` while the owner is loading or if it ends
    /// before it can answer.
    void look_up(const job_id& id, completion<job_view> done);
    /// Counts the jobs in a queue of which no task is known to have started.
    /// Reads the topics of jobs first if what is known of them is old. Errors:
    /// `no_owner` while the owner is loading, or if nothing has confirmed it
    /// lately; `log_unavailable` if the store does not answer in time.
    void count_waiting(const queue_name& queue, completion<waiting_count> done);

    /// Records that the store has taken a claim, a renewal or progress of this
    /// owner that was sent at that time of
    /// `scheduler_clock::now_with_suspends`.
    void confirm(instant sent);

    /// Records the token of this owner's latest record in the ownership topic.
    void note_token(std::uint64_t token);

    /// Applies a change of the evacuations that operators have requested.
    void on_evacuations_changed();

    /// Time since the store last answered a read of the registry, which is
    /// read every 0.3 s. Zero until the stored state is loaded.
    [[nodiscard]] milliseconds store_silence() const;

    /// Adds a job that is already stored without waiting for the next read of
    /// the jobs topic.
    void accept(accepted_job job);

    /// Cancels a job. Once the cancellation is stored, `done` is called with
    /// true, or with false if the job is unknown: a request for it that is
    /// stored later never starts. Errors: as `look_up`; `overloaded` if too
    /// many unknown jobs were cancelled lately.
    void cancel(const job_id& id, completion<bool> done);

    /// Handles a VM's request for a question that it can put to the policy
    /// service. `reply` is called once: with a question, or with nothing if
    /// there is none within `wait`.
    void request_work(
        const instance_id& vm,
        milliseconds wait,
        advice_dispatcher::question_handler reply);
    /// Handles the policy service's answer to the question that a VM was given;
    /// `answer` is empty if the service did not answer. `age` is the time since
    /// the answer arrived at that VM. `question` is the number of the question
    /// (see `advice_dispatcher::finish`); an answer to another one than the VM
    /// was given last is ignored.
    void on_policy_answer(
        const instance_id& vm,
        const step_id& step,
        std::uint64_t question,
        const std::optional<permits>& answer,
        milliseconds age);

    /// One line for the dump of the process state.
    [[nodiscard]] std::string describe() const;
    /// The learnt speeds, as `WORKER:PERCENT/RUNS` separated by commas; `even`
    /// if workers do not differ.
    [[nodiscard]] std::string describe_speeds() const;

private:
    struct flush_batch;
    struct loading;

    /// Token of the first owner, which has no predecessor.
    static constexpr std::uint64_t first_token = 1;
    /// How long a reported run of an unknown job is kept, counted from the time
    /// at which all leases of earlier owners have expired. An outage of the
    /// store may delay the job's record; after this time the job counts as
    /// deleted.
    static constexpr milliseconds unread_job_timeout{30'000};

    fleet_owner(
        owner_settings settings, owner_ports ports, std::uint64_t token);

    // Loading.
    void load();
    void fence();
    /// Selects the page of `loading` that a read fills.
    using loaded_page = std::function<std::optional<store_page>&(loading&)>;
    void load_newest(const std::string& topic, loaded_page into);
    /// Logs what is read so far of a load that takes long.
    void report_slow_load();
    /// Reads the registry's log from an offset up to its end.
    void load_registry_history(log_offset from);
    /// Reads more of the log if that reaches the offset up to which removed
    /// workers are noted. Returns false if it does.
    [[nodiscard]] bool registry_history_suffices();
    /// Applies the loaded records once all reads have completed.
    void finish_loading();
    void restore_progress(const store_record& record);
    /// Time by the steady clock of an event that an earlier owner has recorded
    /// with its wall clock; not earlier than it was.
    [[nodiscard]] instant instant_of(wall_time recorded) const;
    void apply_registration(const store_record& record);
    void
    register_worker(const worker_registration& registration, log_offset offset);
    /// Handles an entry of the registry that cannot be used. A worker that is
    /// known under its key keeps its last readable registration.
    void refuse_registration(const store_record& record, const error& fault);
    /// Replaces the value of an entry of the registry that cannot be used, so
    /// that the entries of other systems take no more memory than their keys.
    void drop_unreadable_value(store_record& record) const;
    /// Finds the workers whose newest entry in the registry cannot be read, as
    /// another system has replaced it: a worker may still be there with runs of
    /// an earlier owner.
    void restore_replaced_registrations(
        const store_page& registry, registry_history& history);
    /// Logs and counts an entry of the registry that cannot be used.
    void
    report_refused_registration(const store_record& record, const error& fault);
    void poll_registry();
    // Absent workers: those that are unreachable or not in the registry. Their
    // possible runs are recorded in the store.
    void restore_absence(const worker_id& id, const store_record& record);
    /// Restores workers and runs from the absence records of earlier owners.
    void restore_absent_workers();
    /// Restores runs on absent workers once their job is read.
    void restore_unread_absent_runs(const job_id& job);
    /// Adds a worker's runs that are not restored yet to its record.
    void add_unread_absent_runs(
        const worker_id& worker, absence_record& absence) const;
    /// `begun`: the run is known to have begun. Returns false if it was not
    /// adopted.
    bool restore_absent_run(
        worker_entry& worker,
        const task_ref& task,
        run_number number,
        bool begun);
    /// Adds records for workers that are absent and withdraws those of workers
    /// that have returned.
    void update_absence_records();
    void update_absence_record(worker_entry& worker, bool leases_ended);
    /// Withdraws records of workers whose removal from the registry is further
    /// back than a new owner scans.
    void prune_absence_records();

    /// Reads the newest record of each worker after the store has deleted
    /// records that this owner had not read.
    void reload_registry();
    /// Follows one of the topics of accepted jobs.
    void tail_jobs(std::size_t topic);
    void tail_jobs_later(std::size_t topic, milliseconds delay);
    void apply_job_record(
        std::size_t topic, const store_record& record, bool inherited);
    /// Reads the topics of jobs to their ends. `done` is called with success
    /// once every job that was stored before this call is known. Errors:
    /// `no_owner` while loading, else those of the read.
    void read_jobs_now(std::function<void(const result<void>&)> done);
    /// Starts one read for all callers of `read_jobs_now` that wait, unless one
    /// is in flight: it may have passed the job that a caller asks for.
    void read_jobs_for_waiting();
    /// Time since the store was asked for the jobs that are known by now.
    [[nodiscard]] milliseconds age_of_jobs() const;
    /// Time since there was evidence that this VM owns the fleet.
    [[nodiscard]] milliseconds age_of_ownership();
    /// True if a topic of jobs is known to be unreadable and its jobs are old.
    [[nodiscard]] bool are_jobs_out_of_reach() const;
    /// Counts the waiting jobs from what is known, or refuses if that is old.
    [[nodiscard]] result<waiting_count> count_known(const queue_name& queue);
    /// Logs that a topic of jobs was not read to its end, if its jobs are old.
    void report_unread_jobs(std::size_t topic, const std::string& reason);
    /// Counts a refusal by what was too old: `store` or `ownership`.
    void report_refused_count(const queue_name& queue, std::string_view reason);
    /// Logs a count of waiting jobs with what it rests on.
    void report_count(const queue_name& queue, const waiting_count& count);
    /// As above, for one topic.
    void read_jobs_now(std::size_t topic, completion<void> done);
    /// Adds the jobs of a page that was asked for at `sent`, a time of
    /// `scheduler_clock::now_with_suspends`.
    void
    apply_jobs_page(std::size_t topic, const store_page& page, instant sent);
    void add_job(accepted_job job, bool inherited);
    /// Reads all jobs that were stored while an earlier owner may have decided.
    void read_predecessor_jobs();
    /// True if an earlier owner may have started a job that is read or passed
    /// on now, on a worker that has not reported yet.
    [[nodiscard]] bool may_be_inherited();
    /// Charges a job to the rate limit of its account at the given instant, and
    /// marks the job if the limit is exceeded.
    void charge_rate(job_entry& job, instant at);
    /// Charges the open jobs of earlier owners in the order of their age.
    void charge_inherited_rates();
    void cancel_known(job_entry& job, completion<bool> done);
    /// Stores that a job is cancelled of which no request is stored.
    void cancel_unseen(const job_id& id, completion<bool> done);
    /// Ends a job that was cancelled before its request was stored.
    void end_cancelled_request(job_entry& job);
    /// True once no unknown run of an earlier owner can be active: all workers
    /// that could have one are sealed, or all leases that it granted have
    /// expired. Until then, starting a task of an inherited job could run it
    /// twice.
    [[nodiscard]] bool inherited_may_start();
    /// Capacity of all workers that could have an unknown run of an earlier
    /// owner, or nothing if it is not known of each of them.
    [[nodiscard]] std::optional<resources> unheard_capacity() const;

    /// True if there is recent evidence that no other VM has taken over: a
    /// renewal or progress that the store has taken, or answers of most workers
    /// with runs. Without it, a successor may be starting tasks whose
    /// runs here have leases from this owner, so no lease is extended and
    /// nothing is started.
    [[nodiscard]] bool is_confirmed();
    [[nodiscard]] bool is_confirmed_by_workers(instant now) const;
    /// True if the store has taken no renewal for longer than is usual.
    [[nodiscard]] bool is_renewal_overdue() const;
    /// Logs changes of `is_confirmed`, and returns it.
    bool check_confirmed();

    // Scheduling rounds.
    void schedule_round();
    void run_round();
    /// Reports the permits that a round used, why others were not, and the
    /// steps that no worker can run.
    void report_waits(const plan& decided);
    void execute(const start_decision& decision);
    void send_start(const start_decision& decision, bool is_retry);
    /// Undoes a start whose order is not sent. If it is a repetition, the first
    /// order may be carried out.
    void on_start_not_sent(
        const start_decision& decision, bool is_retry, std::string_view reason);
    void on_start_answer(
        const start_decision& decision,
        bool is_retry,
        instant sent_at,
        std::uint64_t token,
        const result<start_answer>& answer);
    /// Records the worker's clock as told by the answer to a start order that
    /// was sent at `sent_at`. A clock that went back tells of a restart.
    void note_start_clock(
        worker_entry& worker, worker_instant clock, instant sent_at);
    /// Marks a run that may or may not have started; the next status of the
    /// worker shows which.
    void mark_uncertain(worker_entry& worker, run_entry& run, instant now);
    void on_start_refused(
        const start_decision& decision,
        worker_entry& worker,
        start_refusal reason);
    /// Handles the refusal of a start order as malformed: pauses the worker, or
    /// the step if its orders are at fault.
    void
    on_start_malformed(const start_decision& decision, worker_entry& worker);
    /// Logs a refusal. `unanswered_copy`: an earlier copy of the order was sent
    /// without a response.
    void report_refusal(
        const start_decision& decision,
        start_refusal reason,
        bool unanswered_copy);
    /// Removes a run that was not started, and stops the other runs of its gang
    /// for the given reason.
    void undo_start(const start_decision& decision, std::string_view reason);
    /// Gives waiting questions to VMs, and handles questions that have expired.
    void hand_out_questions();
    /// Gives up ownership if other VMs no longer reach this one.
    void check_isolation();

    // Workers.
    /// Starts a status poll to each worker that needs one. A status poll is a
    /// long poll (`worker_orders::hold`) that returns the worker's running and
    /// ended runs, renews its lease and acknowledges stored ends.
    void poll_workers();
    /// Polls the worker if it needs a status poll and none is in flight;
    /// schedules the poll if it is not due yet.
    void poll_if_due(worker_entry& worker);
    void poll_worker(worker_entry& worker);
    /// Token of the calls to a worker.
    [[nodiscard]] std::uint64_t token_of(const worker_entry& worker) const;
    /// Raises that token above those of the calls with a lease that were sent
    /// to the worker. Returns false if there is no such token: the store has
    /// taken no renewal since.
    bool raise_token(worker_entry& worker);
    /// Extends the lease of a worker's runs by a call that is sent now.
    [[nodiscard]] worker_instant grant_lease(worker_entry& worker, instant now);
    /// Latest end of a lease that a call grants which arrives by `arrived`.
    [[nodiscard]] instant longest_lease_end(instant arrived) const;
    /// Makes `poll_workers` consider the worker when its next poll is due.
    void schedule_poll(const worker_entry& worker)
    {
        polls_.add(worker.handle, worker.next_hold);
    }
    void on_worker_status(
        const worker_id& id,
        instant sent_at,
        std::uint64_t token,
        std::uint64_t acknowledged,
        const result<worker_status>& status);
    /// `token`: of the poll that was sent at `sent_at`.
    void apply_status(
        worker_entry& worker,
        instant sent_at,
        std::uint64_t token,
        const worker_status& status);
    /// Handles the refusal of a call by another incarnation than the known one.
    void suspect_restart(worker_entry& worker);
    /// Handles a status report of a later incarnation than the known one.
    void on_worker_restarted(
        worker_entry& worker,
        instant sent_at,
        std::uint64_t token,
        const worker_status& status);
    /// Notes that the present incarnation knows this owner's token, and that of
    /// the poll.
    void seal(worker_entry& worker, const worker_status& status);
    /// True if the job is unknown but may exist: an earlier owner may have
    /// started it and its record in the jobs topic may not have been read yet.
    [[nodiscard]] bool may_be_unread(const job_id& id);
    /// Remembers that the worker reports a run of a job that is not read yet.
    /// The worker counts as unsealed, so that it is polled again soon.
    void defer_unread_job(worker_entry& worker, const job_id& id);
    /// Removes the worker from `unread_jobs_` before its status is processed
    /// again.
    void clear_unread_jobs(const worker_id& worker);
    void apply_end(worker_entry& worker, const ended_run& ended);
    /// Returns true if the run was adopted from an earlier owner.
    bool apply_running(worker_entry& worker, const running_run& running);
    /// Logs the runs that were adopted from an earlier owner, if any.
    void report_adopted(
        const worker_entry& worker,
        std::string_view from,
        const run_list_text& runs);
    /// Logs that a worker has started a run by an order that was sent to an
    /// earlier incarnation of it.
    void report_late_start(const worker_entry& worker, const run_ref& run);
    /// Logs that a worker lists a run that was recorded as over.
    void report_reappeared(const worker_entry& worker, const run_ref& run);
    void report_rejected_adoption(
        const worker_entry& worker,
        const task_ref& task,
        run_number run,
        adoption outcome);
    /// True if the worker may still start the run by an order that any
    /// incarnation of it may carry out. Such a run is not stopped: its task
    /// could not start elsewhere before the order expires. A task that lasts
    /// has to be at work and starts again on this incarnation instead.
    [[nodiscard]] bool
    awaits_start(const worker_entry& worker, const run_ref& run);
    /// Handles runs that are recorded for the worker but missing in its status.
    void reconcile_missing_runs(
        worker_entry& worker, instant sent_at, const worker_status& status);
    void end_run(
        worker_entry& worker,
        const task_ref& task,
        run_number run,
        run_end how,
        const std::string& checkpoint);
    /// Ends all runs of the worker except those in `kept`.
    void end_lost_runs(
        worker_entry& worker,
        const std::set<run_ref>& kept,
        presumed_end reason);
    // Crashes of workers.
    /// Counts a crash of the worker against the runs that it had, except those
    /// in `kept`, and against those that its lease has ended before.
    void count_crash(
        const worker_entry& worker,
        const std::set<run_ref>& kept,
        presumed_end proof);
    /// Counts a crash against one run, later if its job is not read yet. Fails
    /// the job if the task is convicted.
    void count_crash(
        const worker_id& worker,
        const blamed_run& blamed,
        std::string_view proof);
    /// Counts the crashes under runs of a job once it is read.
    void count_unread_crashes(const job_id& job);
    /// Ends the runs of earlier workers at the address of one that has answered
    /// there: their processes have ended.
    void end_predecessors(worker_entry& worker);
    /// Stores that a run is on its worker if workers have crashed under its
    /// task before, in case that this owner ends together with the worker.
    void note_run(const worker_entry& worker, run_entry& run);
    /// Removes the note of a run that has gone on for longer than a crash is
    /// counted.
    void drop_old_note(run_entry& run);
    void restore_noted_run(const store_record& record);
    /// Counts the crashes under the runs that an earlier owner has noted and of
    /// which the worker that has answered shows that their worker crashed.
    void
    resolve_noted_runs(const worker_entry& worker, const worker_status& status);
    /// Removes notes of earlier owners whose workers have not answered for
    /// long.
    void prune_noted_runs();
    /// Keeps what a crash says of a worker's runs before its lease ends them.
    void keep_blame(worker_entry& worker);
    /// Runs, recorded or not, whose start order the worker or a later
    /// incarnation of it may still carry out.
    [[nodiscard]] std::set<run_ref>
    runs_with_unsettled_start(const worker_entry& worker) const;
    /// Stops a run on the new incarnation of its worker, which then rejects a
    /// start order for it that arrives later. A stop order that arrives late
    /// itself does no harm: it affects no run of a higher number, and a run
    /// that was stopped is not ordered again.
    void bar_run(worker_entry& worker, const run_ref& run);
    /// Ends the runs of unreachable workers whose lease has expired.
    void expire_leases();
    void
    stop_run(worker_entry& worker, run_entry& run, std::string_view reason);
    /// Logs that a run is told to stop.
    void report_stop(
        const worker_entry& worker,
        const run_ref& run,
        std::string_view reason);
    /// Sends a stop order to the worker's present incarnation until it is
    /// answered. If the run is not recorded, no longer than a start order for
    /// it may still be carried out.
    void
    send_stop(const worker_id& worker, const task_ref& task, run_number run);
    /// `incarnation`, `token`: those of the stop order.
    void on_stop_answer(
        const worker_id& worker,
        std::uint64_t incarnation,
        std::uint64_t token,
        const run_ref& run,
        const result<worker_instant>& answer);
    /// Stops the live runs of a task on all workers, except one run.
    void stop_other_runs(
        const task_ref& task, run_number except, std::string_view reason);
    /// Stops what is still live of a task that `run` has completed; for a
    /// gang, of all its members.
    void stop_leftover_runs(const task_ref& done, run_number run);
    void stop_job(const job_entry& job, std::string_view reason);
    void stop_step(const step_id& step, std::string_view reason);
    /// Failed runs of a task after which its job fails.
    [[nodiscard]] std::uint32_t allowed_attempts(const job_id& id);

    // Progress.
    /// Appends changed progress and absence records to the store.
    void flush();
    void send_batch(const std::shared_ptr<flush_batch>& batch);
    /// The record of the learnt speeds, if it is due.
    [[nodiscard]] std::optional<store_record> speeds_record();
    /// Takes over the speeds that an earlier owner has learnt.
    void restore_speeds(const store_page& progress);
    void on_stored(const std::shared_ptr<flush_batch>& batch);
    /// Deletes the requests of ended jobs from the store; their progress
    /// records stay.
    void drop_ended_requests();
    /// Deletes requests from one topic, later again if the store does not take
    /// that.
    void drop_requests(std::size_t topic, std::vector<store_record> deletions);
    /// Deletes jobs that ended more than `status_kept` ago.
    void forget_old_jobs();

    /// Wraps a callback so that it does nothing after this owner is destroyed.
    template<class Work>
    auto guarded(Work work)
    {
        return [weak = weak_from_this(), work = std::move(work)](auto&&... args)
        {
            if (const auto self = weak.lock(); self && !self->ended_)
            {
                work(*self, std::forward<decltype(args)>(args)...);
            }
        };
    }
    void later(milliseconds delay, void (fleet_owner::*work)());

    owner_settings settings_;
    owner_ports ports_;
    std::uint64_t token_;
    /// Of the latest record in the ownership topic that is known to be stored.
    std::uint64_t latest_token_;
    job_tracker jobs_;
    worker_table workers_;
    poll_schedule polls_;
    planner planner_;
    advice_dispatcher dispatcher_;
    account_rate_limiter rates_;

    std::set<data_centre_name> evacuated_; ///< As last logged.

    std::shared_ptr<loading> loading_; ///< Null once loading has finished.
    bool loaded_ = false;
    bool ended_ = false;
    /// When every lease granted by an earlier owner has expired.
    instant inherited_leases_end_{};
    bool inherited_cleared_ = false; ///< Latches `inherited_may_start`.
    /// When the last append that confirms the ownership was sent. This and the
    /// next are times of `scheduler_clock::now_with_suspends`.
    std::optional<instant> confirmed_by_store_;
    /// When the workers' answers were last counted, and the result.
    instant workers_counted_{};
    bool confirmed_by_workers_ = false;
    bool was_confirmed_ = true; ///< As last logged.
    /// Every job that an earlier owner may have started is known.
    bool predecessor_jobs_read_ = false;
    /// Workers that may run tasks of an earlier owner and are not sealed yet.
    std::set<worker_id> unsealed_workers_;
    /// Workers whose registration was removed before this owner loaded it, and
    /// the offset of the removal.
    std::map<worker_id, log_offset> expired_registrations_;
    /// Capacities of those of them that had one in the history at the load.
    std::map<worker_id, resources> expired_capacities_;
    absent_worker_table absences_;
    /// Offset of the registry up to which absences were recorded for all
    /// removed workers, and the one that is stored as `removals_noted`.
    log_offset removals_recorded_ = 0;
    log_offset removals_noted_ = 0;
    noted_run_table noted_runs_;
    unseen_cancel_table unseen_cancels_;
    presumed_end_table presumed_ends_;
    unsettled_order_table unsettled_orders_;
    /// Workers that report runs of a job whose record is not read yet.
    std::map<job_id, std::set<worker_id>> unread_jobs_;
    /// A run in the record of an absent worker whose job is not read yet.
    struct unread_absent_run
    {
        worker_id worker;
        run_ref run;
        bool begun = false; ///< It is known to have begun.
    };
    std::map<job_id, std::vector<unread_absent_run>> unread_absent_runs_;
    /// Crashes under runs whose job is not read yet.
    struct unread_crash
    {
        worker_id worker;
        blamed_run blamed;
        std::string_view proof;
    };
    std::map<job_id, std::vector<unread_crash>> unread_crashes_;

    /// Next offset to read in each topic of jobs.
    std::array<log_offset, topics::job_topics.size()> jobs_next_{};
    /// Time before which all jobs in each topic are known: when the last read
    /// that reached the topic's end was sent. By
    /// `scheduler_clock::now_with_suspends`.
    std::array<instant, topics::job_topics.size()> jobs_known_until_{};
    /// The last read of the topic failed.
    std::array<bool, topics::job_topics.size()> jobs_unreadable_{};
    log_offset registry_next_ = 0; ///< Next offset to read.
    /// Keys of entries of the registry that were reported as unusable.
    std::set<std::string> refused_registrations_;

    std::vector<std::function<void(const result<void>&)>> jobs_readers_;
    bool jobs_read_in_flight_ = false; ///< For callers of `read_jobs_now`.

    bool round_scheduled_ = false;
    instant last_round_{};
    milliseconds planning_cost_{0}; ///< Of the last round.
    instant next_idle_round_{};
    /// Time of the last request from another VM; `max` if there was none.
    instant last_work_request_ = instant::max();

    std::uint64_t sequence_ = 0; ///< Of the next append to `progress`.
    bool flushing_ = false;
    instant next_flush_{};
    instant next_speeds_record_{};
    std::vector<std::function<void()>> after_flush_;
    bool store_lost_ = false;
    instant last_store_answer_{}; ///< To a read of the registry.
    /// Ended jobs whose requests are still stored.
    absl::flat_hash_set<job_id> ended_jobs_;
};

} // namespace acaciastile::fleet
