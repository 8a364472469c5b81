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

/// What an owner is built from.
struct shard_owner_parts
{
    shard_info shard;
    shard_epoch epoch = 0;
    /// When the former owner has surely stopped renewing leases.
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

/// The owner of one shard in one epoch: accepts its jobs, decides what runs
/// where, keeps the leases and follows every attempt to its proven end.
///
/// What it does to jobs is driven by its own stream as read back: an attempt
/// starts when its assignment folded, a task waits again when the end of its
/// last attempt folded. A former owner's records fold to nothing, so it can
/// start nothing.
class shard_owner final : private worker_listener
{
public:
    [[nodiscard]] static std::unique_ptr<shard_owner>
    create(shard_owner_parts parts);
    ~shard_owner() override;

    void tick();

    /// True once the stream was read through this epoch's own first record.
    [[nodiscard]] bool is_open() const noexcept { return open_; }
    /// True where a newer owner was met; nothing is done any more.
    [[nodiscard]] bool is_lost() const noexcept { return lost_; }
    [[nodiscard]] shard_epoch epoch() const noexcept { return epoch_; }
    [[nodiscard]] const shard_info& shard() const noexcept { return shard_; }

    void submit(job_spec spec, completion<job_status> done);
    /// The deadline is an instant of this process.
    void
    request(job_spec spec, instant deadline, completion<request_answer> done);
    void cancel(const job_id& job, completion<job_status> done);
    [[nodiscard]] result<job_status> status(const job_id& job, bool why) const;
    /// Empty where the job runs here or is unknown.
    [[nodiscard]] shard_id moved_to(const job_id& job) const;
    [[nodiscard]] std::vector<job_status> list(const job_filter& filter) const;
    [[nodiscard]] std::map<team_name, team_load> loads() const;
    [[nodiscard]] std::vector<worker_status> workers() const;

    void set_shard(shard_info shard);
    void set_rules(const rules& in_force);
    void on_notice(const worker_id& worker);
    /// What ran on it runs no longer, by an operator's word.
    void declare_dead(const worker_id& worker);

    /// Takes nothing new and starts nothing.
    void begin_release();
    /// True once no message is in flight and no request waits here.
    [[nodiscard]] bool may_release() const;
    /// Sends nothing to workers any more.
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
    void follow(const shard_record& record, const fold_outcome& outcome);
    void follow_assigned(const attempt_assigned& assigned);
    void follow_ended(const attempt_ended& ended);
    void follow_cancelled(const job_id& job);
    void send_on_waiters(const job_id& job);
    void write(
        const job_id& job,
        shard_change change,
        milliseconds patience,
        completion<fold_outcome> done);
    void settled(const job_id& job);
    void fail_waiters();
    void watch_log();
    void restate_some();

    // Calls.
    void on_submitted(const job_id& id, result<fold_outcome> outcome);
    void request_once(
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
    void wake_delayed();
    void plan_allowances();
    void plan_soon(const job_spec& spec);
    void stop_excess(const std::map<team_name, resources>& excess);
    void refresh_worker_states();
    void set_worker_state_of(const worker_link& link);
    [[nodiscard]] bool may_act() const;
    [[nodiscard]] job_request make_request(
        const job_spec& spec, std::vector<std::uint32_t> waiting) const;
    [[nodiscard]] start_command
    make_start(const job_spec& spec, const attempt_id& attempt) const;
    [[nodiscard]] result<void> admit(const job_spec& spec) const;

    // Ends of attempts.
    void end_attempt(
        const attempt_id& attempt,
        task_state state,
        std::string answer,
        std::string reason);
    void write_end(attempt_ended ended);
    void answer_waiters(
        const job_id& job,
        task_state state,
        const std::string& answer,
        const std::string& reason);
    void end_request(const attempt_id& attempt, const ended_attempt& ended);
    void retry_request(live_request& request, bool ran);
    void check_deadlines();
    [[nodiscard]] task_state
    state_after(const job_progress& job, const ended_attempt& ended) const;
    void lose_attempt(const attempt_id& attempt, std::string reason);
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
    /// Largest task that each team queued since the last plan.
    std::map<team_name, resources> largest_;
    std::set<team_name> bounded_; ///< Teams that the last plan named.
    instant next_restate_{};
    job_id restated_last_;

    /// Assignments on their way to the log.
    std::map<task_id, worker_id> assigning_;
    /// Ends on their way to the log, or to be written again.
    std::map<attempt_id, attempt_ended> ending_;
    /// Submissions on their way to the log.
    struct submission
    {
        job_spec spec;
        std::vector<completion<job_status>> waiters;
    };
    std::map<job_id, submission> accepting_;
    /// How many records about a job are on their way to the log.
    std::map<job_id, std::uint32_t> unsettled_;
    /// Callers of not repeatable requests.
    std::map<job_id, std::vector<completion<request_answer>>> answer_waiters_;
    std::set<std::pair<instant, job_id>> answer_deadlines_;
    /// Tasks that wait before their next attempt.
    std::set<std::pair<instant, task_id>> delayed_;
    /// When each waiting task was queued first, and which of them the
    /// scheduler knows at the moment.
    std::map<task_id, instant> queued_at_;
    std::set<task_id> queued_;
    /// Moved jobs that their new shard has not confirmed.
    std::map<job_id, instant> moves_;
    std::vector<job_id> delivered_;
    /// Lets answers that come after the end of this object find nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace acaciastile
