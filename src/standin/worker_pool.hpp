#pragma once

#include "fleet/planner.hpp"
#include "fleet/ports.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace acaciastile::standin
{

/// A start or end of a run on a worker. Tests check the scheduler's guarantees
/// on the sequence of these events.
struct worker_event
{
    enum class kind
    {
        started,
        ended
    };
    kind what = kind::started;
    instant at{};
    worker_id worker;
    fleet::task_ref task;
    fleet::run_number run = 0;
    fleet::run_end how = fleet::run_end::done;
    std::uint64_t token = 0;
    std::string payload;
    std::string checkpoint;
};

/// How a task behaves on the simulated workers.
struct task_behaviour
{
    milliseconds work{1'000};
    bool fails = false;
};

/// Simulates the fleet's workers according to the worker protocol. A worker
/// starts every task that it is told to start, rejects orders with a lower
/// fencing token than the highest seen, has one lease for all its runs, and
/// lists finished runs until they are acknowledged.
class worker_pool final : public fleet::worker_orders
{
public:
    struct settings
    {
        milliseconds latency{2};
        milliseconds longest_lease{10'000};
        milliseconds stop_time{200};
        milliseconds gang_timeout{3'000};
        /// Time after which clients stop waiting for a reply.
        milliseconds answer_timeout{400};
    };

    /// Faults that a test can inject into one worker.
    struct faults
    {
        bool silent = false;         ///< Unreachable; its runs continue.
        bool refusing = false;       ///< Refuses connections.
        bool failing = false;        ///< Every run fails.
        bool unhealthy = false;      ///< Rejects starts as unhealthy.
        bool losing_stops = false;   ///< Stop orders do not arrive.
        bool losing_answers = false; ///< Executes orders; replies are lost.
        /// If not zero, orders get no reply and are executed after this delay.
        milliseconds late{0};
        /// If not zero, a start order is sent in two copies, as by a client
        /// whose connection breaks: the first gets no reply and is executed
        /// after this delay, the second gets the reply.
        milliseconds earlier_copy{0};
        milliseconds order_transit{0};  ///< Added to the way of start orders.
        milliseconds report_transit{0}; ///< Added to the way of status reports.
    };

    worker_pool(fleet::scheduler_clock& clock, settings options);
    explicit worker_pool(fleet::scheduler_clock& clock)
        : worker_pool(clock, settings())
    {
    }
    ~worker_pool() override;

    /// Adds a worker, or a new incarnation of it if its id is known. Returns
    /// the incarnation.
    std::uint64_t add(fleet::worker_registration about);
    /// Restarts a worker: its runs end, and a new incarnation has the same id.
    /// Returns the incarnation.
    std::uint64_t restart(const worker_id& id);
    /// Crashes a worker: its runs end, and it refuses connections until it is
    /// restarted or for good.
    void crash(const worker_id& id);
    [[nodiscard]] faults& faults_of(const worker_id& id);
    /// Ends the active runs of a task in the given way.
    void end_runs(const fleet::task_ref& task, fleet::run_end how);

    /// Calls for an earlier incarnation of a worker are carried out by the
    /// present one, also when they arrive late. Otherwise the present one
    /// refuses starts, and status polls with a lease or an acknowledged number.
    bool orders_outlive_restarts = false;
    /// The same for calls that are carried out late, and for no others.
    bool late_orders_outlive_restarts = false;
    /// Clients keep connections to workers. A call to a worker that has crashed
    /// goes out on one of them and gets no reply, so the client does not know
    /// whether it was carried out. Otherwise such a call is known not to have
    /// been.
    bool kept_connections = false;
    std::function<task_behaviour(const fleet::task_ref&)> behaviour;
    /// How many times faster than usual a worker carries out tasks.
    std::function<double(const worker_id&)> speed;
    /// How long after the task's start its worker crashes, if it does.
    std::function<std::optional<milliseconds>(const fleet::task_ref&)>
        crashes_after;
    std::function<resources(const fleet::task_ref&)> needs;
    /// Called when a worker has crashed.
    std::function<void(const worker_id&)> on_crash;
    /// Number of tasks in the gang of a task; zero or one if it is in no gang.
    std::function<std::uint32_t(const fleet::task_ref&)> gang_size;
    /// Returns true if a start order carries a valid permit. By default every
    /// order does.
    std::function<bool(const worker_id&, const fleet::start_order&)> permitted;
    /// Returns true if a worker rejects a start order as malformed. By default
    /// none does.
    std::function<bool(const worker_id&, const fleet::start_order&)> rejects;

    [[nodiscard]] const std::vector<worker_event>& events() const noexcept
    {
        return events_;
    }
    /// Ends that were acknowledged to their worker before its lease lapsed.
    /// Such an end stands for good; any other may be as if the run never was.
    [[nodiscard]] const std::vector<worker_event>& noted_ends() const noexcept
    {
        return noted_ends_;
    }
    /// Number of runs in progress on all workers.
    [[nodiscard]] std::size_t running() const;
    /// The highest fencing token that the worker has seen.
    [[nodiscard]] std::uint64_t token_of(const worker_id& id) const;
    /// Highest number of a finished run that was acknowledged to the worker.
    [[nodiscard]] std::uint64_t acknowledged_of(const worker_id& id) const;
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

    void start(
        const fleet::worker_address& target,
        std::uint64_t token,
        worker_instant lease_until,
        fleet::start_order order,
        fleet::completion<fleet::start_answer> done) override;
    void stop(
        const fleet::worker_address& target,
        std::uint64_t token,
        const fleet::task_ref& task,
        fleet::run_number run,
        fleet::completion<worker_instant> done) override;
    void hold(
        const fleet::worker_address& target,
        std::uint64_t token,
        std::uint64_t acknowledged,
        std::optional<worker_instant> lease_until,
        milliseconds wait,
        fleet::completion<fleet::worker_status> done) override;

private:
    struct incarnation_state;

    /// Executes an order and replies, subject to the worker's faults.
    template<class Answer>
    void deliver(
        const fleet::worker_address& target,
        std::function<result<Answer>(incarnation_state&)> work,
        fleet::completion<Answer> done,
        milliseconds faults::*transit = nullptr);
    /// True if the worker is another incarnation than the one that a call
    /// requires. Like the introduction of such a call it tells the token.
    [[nodiscard]] static bool is_other_incarnation(
        incarnation_state& worker,
        const fleet::worker_address& required,
        std::uint64_t token);
    /// True if a call that is sent now may be carried out by a later
    /// incarnation of the worker.
    [[nodiscard]] bool outlives_restart(const worker_id& id) const;
    [[nodiscard]] worker_instant
    clock_of(const incarnation_state& worker) const;
    void extend(incarnation_state& worker, worker_instant until);
    void expire_lease(incarnation_state& worker);
    /// Forgets ends up to a number, as the caller has acknowledged them.
    void acknowledge(incarnation_state& worker, std::uint64_t acknowledged);
    void finish(
        incarnation_state& worker,
        const fleet::task_ref& task,
        fleet::run_number run,
        fleet::run_end how);
    void begin_execution(const fleet::task_ref& any, fleet::run_number run);
    fleet::start_answer begin(
        incarnation_state& worker,
        std::uint64_t token,
        worker_instant until,
        const fleet::start_order& order);
    void answer_hold(
        incarnation_state& worker,
        instant until,
        fleet::completion<fleet::worker_status> done);
    [[nodiscard]] fleet::worker_status
    status_of(const incarnation_state& worker) const;
    /// Ends the other members of a run's gang, as one has ended.
    void break_gang(const fleet::task_ref& member, fleet::run_number run);
    /// Ends the worker's runs without a report, as its process has ended.
    void end_process(incarnation_state& worker);

    fleet::scheduler_clock& clock_;
    settings options_;
    std::map<worker_id, std::shared_ptr<incarnation_state>> workers_;
    std::vector<worker_event> events_;
    std::vector<worker_event> noted_ends_;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t calls_ = 0;
};

/// Simulates the queues' policy service. It handles queries in sequence; each
/// takes `base` plus `per_worker` for each worker. `allows` selects the
/// workers; by default all are allowed.
class policy_stand_in final : public fleet::policy_service
{
public:
    explicit policy_stand_in(fleet::scheduler_clock& clock) : clock_(clock) {}

    std::function<bool(const fleet::step_id&, const worker_id&)> allows;
    milliseconds base{10};
    milliseconds per_worker{1};
    milliseconds valid{1'500};
    bool silent = false;
    std::uint64_t calls = 0;

    void
    ask(const fleet::step_id& step,
        const std::vector<worker_id>& workers,
        milliseconds timeout,
        fleet::completion<fleet::permits> done) override;

private:
    fleet::scheduler_clock& clock_;
    instant free_at_{};
};

} // namespace acaciastile::standin
