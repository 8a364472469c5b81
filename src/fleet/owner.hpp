#pragma once

#include "domain/event_sink.hpp"
#include "domain/metric_sink.hpp"
#include "fleet/absence_book.hpp"
#include "fleet/advice_board.hpp"
#include "fleet/job_tracker.hpp"
#include "fleet/planner.hpp"
#include "fleet/ports.hpp"
#include "fleet/worker_table.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace acaciastile::fleet
{

/// Names of the project's own topics in the store.
namespace topics
{
inline constexpr const char* jobs = "keyed.jobs";
inline constexpr const char* progress = "keyed.progress";
/// Name under which the owner appends progress; its token is the epoch.
inline constexpr const char* progress_writer = "owner";
} // namespace topics

/// Records of the registry's history that a new owner looks through for
/// dropped workers: some 10 s of 350 workers, within one answer of the store.
inline constexpr log_offset registry_lookback_records = 2'500;

/// Stands for workers that may exist and are not known; never sealed.
inline constexpr const char* unknown_worker_id = "?";

struct owner_settings
{
    instance_id vm; ///< This one.
    worker_table_settings workers;
    planner_settings planning;
    advice_board_settings advice;
    /// Between two rounds of decisions at the least.
    milliseconds round_interval{5};
    /// A round that took long is followed by this many times its cost without
    /// another, so that deciding leaves time for everything else.
    int round_pause_factor = 3;
    /// Between two rounds while nothing happens but jobs are open.
    milliseconds idle_round_interval{250};
    /// Between two stores of progress at the least; ends count as taken note
    /// of 100 ms after their worker lists them.
    milliseconds flush_interval{25};
    /// Between two reads of the registry. New work must stop within 2 s of a
    /// worker's notice that it leaves.
    milliseconds registry_poll_interval{300};
    /// Wait of one read of the topic of jobs.
    milliseconds jobs_read_wait{1'000};
    /// At the least between two reads of the topic of jobs. Most jobs are
    /// handed to the owner; the topic brings those that were not.
    milliseconds jobs_read_interval{150};
    /// Longest wait of one call for a worker's lists.
    milliseconds status_poll_wait{1'000};
    /// Until the next call to a worker that did not answer, or whose ends
    /// cannot be forgotten yet.
    milliseconds worker_retry_delay{150};
    /// A worker whose end was just taken in is called again once that is
    /// stored, which takes some 30 ms, or after this time.
    milliseconds end_ack_wait{60};
    /// After a failed call to the store.
    milliseconds store_retry_delay{120};
    /// After a question that the policy service did not answer.
    milliseconds advice_retry_delay{150};
    /// A permit's time begins at its answer, which takes this long to travel.
    milliseconds permit_transit_time{20};
    /// A worker that refused an order as unhealthy gets none for this long.
    milliseconds refused_start_pause{400};
    /// Other VMs come for work every 0.7 s; an owner that none of them reaches
    /// for this long leaves the fleet to one of them.
    milliseconds isolation_timeout{2'000};
    milliseconds status_kept{120'000};
    /// Between two clean-ups of the store's topics.
    milliseconds cleanup_interval{2'000};
};

/// What the owner needs from its surroundings; all outlive it.
struct owner_ports
{
    metadata_store& store;
    worker_orders& orders;
    external_records& foreign;
    scheduler_clock& clock;
    event_sink& events;
    metric_sink& metrics;
    std::function<const configuration&()> config;
    /// A higher token was seen, or the store fenced this owner out.
    std::function<void(std::string)> step_down;
    /// Another VM would decide better.
    std::function<void(std::string)> yield;
};

/// What a caller hears about a job.
struct job_view
{
    bool known = false;
    job_state state = job_state::queued;
};

/// Decides for the whole fleet while this VM owns it: takes in accepted jobs
/// and workers, starts and stops runs, takes note of ends and stores progress.
/// One instance for each ownership; all on the control thread.
class fleet_owner : public std::enable_shared_from_this<fleet_owner>
{
public:
    [[nodiscard]] static std::shared_ptr<fleet_owner>
    create(owner_settings settings, owner_ports ports, std::uint64_t token);
    ~fleet_owner();

    /// Fences the owner before, loads what is stored and seals the workers.
    void start();

    /// True once all that is stored has been loaded.
    [[nodiscard]] bool loaded() const noexcept { return loaded_; }
    [[nodiscard]] std::uint64_t token() const noexcept { return token_; }

    /// What is shown of a job. A job that is not known is looked for in the
    /// store first. Errors: `log_unavailable` where that fails.
    void look_up(const job_id& id, completion<job_view> done);
    [[nodiscard]] std::size_t pending(const queue_name& queue) const;

    /// How long ago the store last answered; it is asked every 0.3 s. Zero
    /// until all is loaded.
    [[nodiscard]] milliseconds store_silence() const;

    /// Takes in a job that this VM has stored, before the topic is read.
    void accept(accepted_job job);

    /// Cancels a job; `done` hears whether it is known once that is stored.
    /// Errors: as `look_up`.
    void cancel(const job_id& id, completion<bool> done);

    /// A VM comes for a question to the policy service.
    void request_work(
        const instance_id& vm, milliseconds wait, advice_board::taker reply);
    /// A VM brings an answer; nothing where the service gave none. `age`: how
    /// long ago the answer came.
    void on_policy_answer(
        const instance_id& vm,
        const step_id& step,
        const std::optional<permits>& answer,
        milliseconds age);

    /// One line for the dump of a process's state.
    [[nodiscard]] std::string describe() const;

private:
    struct flush_batch;
    struct loading;

    fleet_owner(
        owner_settings settings, owner_ports ports, std::uint64_t token);

    // Loading.
    void load();
    void fence();
    void load_newest(
        const std::string& topic, std::optional<store_page> loading::*into);
    void load_expired_registrations(log_offset end);
    /// Takes all in once every part is there.
    void finish_loading();
    void restore_progress(const store_record& record);
    void apply_registration(const store_record& record);
    void poll_registry();
    // Workers out of sight.
    void restore_absence(const worker_id& id, const store_record& record);
    /// Takes in what predecessors noted of workers that they had lost sight of.
    void restore_absent_workers();
    void restore_absent_run(
        worker_entry& worker, const task_ref& task, run_number number);
    /// Notes workers that are out of sight, takes back notes of others.
    void update_absence_records();
    /// Forgets workers whose drop has left the registry's history.
    void prune_absence_records();

    /// Takes in the newest entries where the history between was dropped.
    void reload_registry();
    void tail_jobs();
    void apply_job_record(const store_record& record, bool inherited);
    /// Reads on in the topic of jobs; `done` hears whether all that was stored
    /// before this call is known now.
    void read_jobs_now(std::function<void(const result<void>&)> done);
    void apply_jobs_page(const store_page& page);
    void add_job(accepted_job job, bool inherited);
    /// Counts a job against its account's rate at that instant.
    void charge_rate(job_entry& job, instant at);
    /// Counts jobs that were handed in before this owner's time.
    void charge_inherited_rates();
    void cancel_known(job_entry& job, completion<bool> done);
    [[nodiscard]] bool inherited_may_start();

    // Rounds.
    void schedule_round();
    void run_round();
    void execute(const start_decision& decision);
    void send_start(const start_decision& decision, bool is_retry);
    void on_start_answer(
        const start_decision& decision,
        bool is_retry,
        instant sent_at,
        const result<start_answer>& answer);
    /// Whether the run ever was is for the worker's lists to tell.
    void mark_uncertain(worker_entry& worker, run_entry& run, instant now);
    void on_start_refused(
        const start_decision& decision,
        worker_entry& worker,
        start_refusal reason);
    void undo_start(const start_decision& decision, std::string_view reason);
    void hand_out_questions();
    void check_isolation();

    // Workers.
    void poll_workers();
    void poll_worker(worker_entry& worker);
    void on_worker_status(
        const worker_id& id,
        instant sent_at,
        std::uint64_t forgets,
        const result<worker_status>& told);
    void apply_status(
        worker_entry& worker, instant sent_at, const worker_status& status);
    /// A replaced owner may have started a job whose record this owner has
    /// not read: true while that can be.
    [[nodiscard]] bool may_be_unread(const job_id& id);
    void defer_unread_job(worker_entry& worker, const job_id& id);
    /// What the worker lists is taken in anew.
    void clear_unread_jobs(const worker_id& worker);
    void apply_end(worker_entry& worker, const ended_run& ended);
    void apply_running(worker_entry& worker, const running_run& running);
    void reconcile_missing_runs(
        worker_entry& worker, instant sent_at, const worker_status& status);
    void end_run(
        worker_entry& worker,
        const task_ref& task,
        run_number run,
        run_end how,
        const std::string& checkpoint);
    void end_lost_runs(
        worker_entry& worker,
        const std::set<std::pair<task_ref, run_number>>& kept,
        std::string_view reason);
    void expire_leases();
    void
    stop_run(worker_entry& worker, run_entry& run, std::string_view reason);
    void
    send_stop(const worker_id& worker, const task_ref& task, run_number run);
    void stop_job(const job_entry& job, std::string_view reason);
    void stop_step(const step_id& step, std::string_view reason);
    [[nodiscard]] std::uint32_t allowed_attempts(const job_id& id);

    // Progress.
    void flush();
    void send_batch(const std::shared_ptr<flush_batch>& batch);
    void on_stored(const std::shared_ptr<flush_batch>& batch);
    /// Drops the requests of ended jobs from the store; their state stays.
    void drop_ended_requests();
    /// Forgets jobs whose state need not be told any more.
    void forget_old_jobs();

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
    job_tracker jobs_;
    worker_table workers_;
    planner planner_;
    advice_board board_;
    account_rate_limiter rates_;

    std::shared_ptr<loading> loading_; ///< Until all is loaded.
    bool loaded_ = false;
    bool ended_ = false;
    instant inherited_leases_end_{}; ///< All leases of predecessors have ended.
    bool inherited_cleared_ = false;
    std::set<worker_id>
        unsealed_workers_; ///< Listed at the start and not sealed.
    /// Dropped from the registry before this owner loaded it, and when.
    std::map<worker_id, log_offset> expired_registrations_;
    absence_book absences_;
    /// Workers that list runs of a job whose record is not read.
    std::map<job_id, std::set<worker_id>> unread_jobs_;

    log_offset jobs_next_ = 0;
    log_offset registry_next_ = 0;

    bool round_scheduled_ = false;
    instant last_round_{};
    milliseconds round_cost_{0};
    instant next_idle_round_{};
    instant last_visit_ = instant::max(); ///< By another VM; max: never.

    std::uint64_t sequence_ = 0;
    bool flushing_ = false;
    instant next_flush_{};
    std::vector<std::function<void()>> after_flush_;
    bool store_lost_ = false;
    instant
        last_store_answer_{}; ///< The last answer to a read of the registry.
    std::vector<job_id> ended_jobs_; ///< Whose requests are still stored.
};

} // namespace acaciastile::fleet
