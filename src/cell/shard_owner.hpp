#pragma once

#include "cell/allowance_planner.hpp"
#include "cell/control.hpp"
#include "cell/record_writer.hpp"
#include "cell/request_table.hpp"
#include "cell/shard_fold.hpp"
#include "cell/shard_host.hpp"
#include "cell/shard_map.hpp"
#include "cell/shard_settings.hpp"
#include "cell/stream_reader.hpp"
#include "cell/worker_link.hpp"
#include "policy/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace acaciastile
{

/// The dependencies and initial state of a shard owner.
struct shard_owner_parts
{
    shard_info shard;
    shard_epoch epoch = 0;
    /// From then on the former owner renews no leases.
    instant former_owner_silent{};
    std::string notify_address;
    shard_settings settings;
    std::uint64_t seed = 0;
    log_service* log = nullptr;
    worker_gateway* workers = nullptr;
    const clock_source* clock = nullptr;
    shard_host* host = nullptr;
    std::unique_ptr<scheduler> decisions;
};

/// The owner of one shard in one epoch. Accepts jobs, places tasks on workers,
/// renews leases and tracks each attempt until it has provably ended.
///
/// State changes take effect when the owner reads its own records back from the
/// shard's stream: an attempt starts after its assignment has been read, and a
/// task is queued again after the end of its last attempt has been read. The
/// fold rejects the records of a former owner, which therefore can start
/// nothing.
class shard_owner final : private worker_listener
{
public:
    [[nodiscard]] static std::unique_ptr<shard_owner>
    create(shard_owner_parts parts);
    ~shard_owner() override;

    void tick();

    /// Returns whether the stream has been read up to this epoch's first
    /// record.
    [[nodiscard]] bool is_open() const noexcept { return open_; }
    /// Returns whether a higher epoch was seen. The object then does nothing
    /// further.
    [[nodiscard]] bool is_lost() const noexcept { return lost_; }
    [[nodiscard]] shard_epoch epoch() const noexcept { return epoch_; }
    [[nodiscard]] const shard_info& shard() const noexcept { return shard_; }

    void submit(job_spec spec, completion<job_status> done);
    /// The deadline refers to this process's clock.
    void
    request(job_spec spec, instant deadline, completion<request_answer> done);
    void cancel(const job_id& job, completion<job_status> done);
    [[nodiscard]] result<job_status> status(const job_id& job, bool why) const;
    /// Returns the shard that the job moved to. Empty if it has not moved or is
    /// unknown.
    [[nodiscard]] shard_id moved_to(const job_id& job) const;
    [[nodiscard]] std::vector<job_status> list(const job_filter& filter) const;
    [[nodiscard]] std::map<team_name, team_load> loads() const;
    [[nodiscard]] std::vector<worker_status> workers() const;

    void set_shard(shard_info shard);
    void set_rules(const rules& in_force);
    void on_notice(const worker_id& worker);
    /// Treats all attempts on the worker as ended, as stated by an operator.
    void declare_dead(const worker_id& worker);

    /// Starts the release: from now on accepts no jobs and starts no attempts.
    void begin_release();
    /// Returns whether no request, record or worker message is pending.
    [[nodiscard]] bool may_release() const;
    /// Stops sending messages to workers.
    void silence();

    [[nodiscard]] std::size_t requests_in_hand() const noexcept;
    [[nodiscard]] std::size_t attempts_held() const;
    [[nodiscard]] std::uint64_t appends_sent() const;
    [[nodiscard]] std::uint64_t worker_calls_sent() const;
    [[nodiscard]] const shard_fold& fold() const noexcept { return fold_; }
    void set_batch_interval(milliseconds interval);

private:
    explicit shard_owner(shard_owner_parts parts);

    // Stream.
    void on_entry(const log_entry& entry);
    void open();
    void
    on_record_applied(const shard_record& record, const fold_outcome& outcome);
    void on_attempt_assigned(const attempt_assigned& assigned);
    void on_attempt_ended(const attempt_ended& ended);
    void on_job_cancelled(const job_id& job);
    void redirect_waiters(const job_id& job);
    void write(
        const job_id& job,
        shard_change change,
        milliseconds patience,
        completion<fold_outcome> done);
    void settled(const job_id& job);
    void fail_waiters();
    void check_log();
    void restate_due_jobs();

    // Calls.
    void on_submitted(const job_id& id, result<fold_outcome> outcome);
    void request_nonrepeatable(
        job_spec spec, instant deadline, completion<request_answer> done);
    void wait_for_answer(
        const job_id& id, instant deadline, completion<request_answer> done);
    void cancel_request(live_request& request);

    // Decisions.
    void decide();
    void place(const placement& decided);
    void place_request(live_request& request, const worker_id& worker);
    void assign(
        const job_spec& spec, std::uint32_t number, const placement& decided);
    void on_assign_failed(const task_id& task);
    [[nodiscard]] const job_spec* spec_of(const job_id& job) const;
    void enqueue(const job_spec& spec, std::vector<std::uint32_t> indexes);
    void dequeue(const job_id& job);
    void enqueue_waiting(const job_progress& job);
    void enqueue_request(const live_request& request);
    void enqueue_delayed_tasks();
    void plan_allowances();
    void schedule_plan(const job_spec& spec);
    void stop_excess(const std::map<team_name, resources>& excess);
    void refresh_worker_states();
    void set_worker_state_of(const worker_link& link);
    [[nodiscard]] bool may_act() const;
    [[nodiscard]] job_request make_request(
        const job_spec& spec, std::vector<std::uint32_t> waiting) const;
    [[nodiscard]] start_command
    make_start(const job_spec& spec, const attempt_id& attempt) const;
    [[nodiscard]] result<void> admit(const job_spec& spec) const;

    // Ended attempts.
    void end_attempt(
        const attempt_id& attempt,
        task_state state,
        std::string answer,
        std::string reason);
    void write_end(attempt_ended ended);
    void notify_answer_waiters(
        const job_id& job,
        task_state state,
        const std::string& answer,
        const std::string& reason);
    void end_request(const attempt_id& attempt, const ended_attempt& ended);
    void retry_request(live_request& request, bool ran);
    void check_deadlines();
    [[nodiscard]] task_state
    state_after(const job_progress& job, const ended_attempt& ended) const;
    void handle_lost_attempt(const attempt_id& attempt, std::string reason);
    void deliver_moves();

    // worker_listener.
    void on_sealed(const worker_id& worker) override;
    void on_reachable(
        const worker_id& worker, bool reachable, bool leaving) override;
    void on_started(const worker_id& worker, const attempt_id&) override;
    void on_usage(const attempt_id&, const resources& usage) override;
    void on_ended(const worker_id& worker, const ended_attempt&) override;
    void on_refused(
        const worker_id& worker, const attempt_id&, refusal_code code) override;
    void on_missing(const worker_id& worker, const attempt_id&) override;
    void
    on_unknown_attempt(const worker_id& worker, const attempt_id&) override;
    void on_lapsed(const worker_id& worker, const attempt_id&) override;
    void on_epoch_lost(const worker_id& worker) override;

    [[nodiscard]] worker_link* link(const worker_id& worker);
    void add_link(const worker_entry& entry);
    void emit(
        event_number number,
        std::vector<std::pair<std::string_view, std::string>> fields);
    [[nodiscard]] instant now() const { return clock_.now(); }

    shard_info shard_;
    shard_epoch epoch_;
    instant former_owner_silent_;
    std::string notify_address_;
    shard_settings settings_;
    std::mt19937_64 random_;
    log_service& log_;
    worker_gateway& gateway_;
    const clock_source& clock_;
    shard_host& host_;
    std::unique_ptr<scheduler> scheduler_;
    allowance_planner planner_;

    shard_fold fold_;
    std::unique_ptr<stream_reader> reader_;
    std::unique_ptr<record_writer> writer_;
    request_table requests_;
    std::map<worker_id, std::shared_ptr<worker_link>> links_;

    bool open_ = false;
    bool lost_ = false;
    bool releasing_ = false;
    bool log_up_ = true;
    instant next_plan_{};
    instant next_refresh_{};
    /// Largest task queued by each team since the last plan.
    std::map<team_name, resources> largest_tasks_;
    std::set<team_name> limited_teams_; ///< Teams limited by the last plan.
    instant next_restate_{};
    job_id restated_last_;

    /// Assignments whose records have not been read back yet.
    std::map<task_id, worker_id> pending_assignments_;
    /// Ends of attempts whose records have not been read back yet. They are
    /// written again after a failed append.
    std::map<attempt_id, attempt_ended> pending_ends_;
    /// Submissions whose records have not been read back yet.
    struct submission
    {
        job_spec spec;
        std::vector<completion<job_status>> waiters;
    };
    std::map<job_id, submission> pending_submissions_;
    /// Number of pending records of each job.
    std::map<job_id, std::uint32_t> pending_records_;
    /// Callers that wait for the answer to a non-repeatable request.
    std::map<job_id, std::vector<completion<request_answer>>> answer_waiters_;
    std::set<std::pair<instant, job_id>> answer_deadlines_;
    /// Tasks to be queued again, or declared lost, at the given time.
    std::set<std::pair<instant, task_id>> delayed_tasks_;
    /// When each waiting task was first queued, and the waiting tasks that are
    /// currently in the scheduler.
    std::map<task_id, instant> queued_at_;
    std::set<task_id> queued_;
    /// Moved jobs not yet confirmed by their new shard, with the time of the
    /// next attempt to hand them over.
    std::map<job_id, instant> unconfirmed_moves_;
    std::vector<job_id> confirmed_moves_;
    /// Callbacks hold a weak reference to detect that this object is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciastile
