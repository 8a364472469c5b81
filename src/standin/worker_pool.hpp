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

/// One thing that the workers saw, in order; tests read promises off it.
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

/// How a task behaves on the stand-in's workers.
struct task_behaviour
{
    milliseconds work{1'000};
    bool fails = false;
};

/// A stand-in of the fleet's workers as the published protocol has them: each
/// starts whatever it is told, keeps the highest token, holds one lease for
/// all that runs there and lists ends until they are acknowledged.
class worker_pool final : public fleet::worker_orders
{
public:
    struct settings
    {
        milliseconds latency{2};
        milliseconds longest_lease{10'000};
        milliseconds stop_time{200};
        milliseconds gang_timeout{3'000};
        /// Callers stop waiting for an answer after this time.
        milliseconds answer_timeout{400};
    };

    struct faults
    {
        bool silent = false;         ///< Cut off; what runs goes on.
        bool refusing = false;       ///< Connections are refused.
        bool failing = false;        ///< Every run fails at once.
        bool unhealthy = false;      ///< Answers 503 and does nothing.
        bool losing_answers = false; ///< Orders are done, answers are lost.
        milliseconds late{0}; ///< Orders get no answer and are done later.
    };

    worker_pool(fleet::scheduler_clock& clock, settings options);
    explicit worker_pool(fleet::scheduler_clock& clock)
        : worker_pool(clock, settings())
    {
    }
    ~worker_pool() override;

    void add(fleet::worker_registration about);
    /// Ends a life and begins another under the same id.
    void restart(const worker_id& id);
    [[nodiscard]] faults& faults_of(const worker_id& id);

    std::function<task_behaviour(const fleet::task_ref&)> behaviour;
    std::function<resources(const fleet::task_ref&)> needs;
    /// Members of the gang that the task belongs to; zero or one: none.
    std::function<std::uint32_t(const fleet::task_ref&)> gang_size;
    /// Tickets that starts must carry; empty: none needed.
    std::function<bool(const worker_id&, const fleet::start_order&)> permitted;

    [[nodiscard]] const std::vector<worker_event>& events() const noexcept
    {
        return events_;
    }
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::uint64_t token_of(const worker_id& id) const;
    /// Highest end that the worker was told to forget.
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
    struct life;

    /// Carries an order out now or as the worker's faults say, and answers.
    template<class Answer>
    void deliver(
        const fleet::worker_address& target,
        std::function<result<Answer>(life&)> work,
        fleet::completion<Answer> done);
    [[nodiscard]] worker_instant clock_of(const life& of) const;
    void extend(life& of, worker_instant until);
    void lapse(life& of);
    void finish(
        life& of,
        const fleet::task_ref& task,
        fleet::run_number run,
        fleet::run_end how);
    void begin_work(const fleet::task_ref& any, fleet::run_number run);
    fleet::start_answer begin(
        life& of,
        std::uint64_t token,
        worker_instant until,
        const fleet::start_order& order);
    void answer_hold(
        life& of, instant until, fleet::completion<fleet::worker_status> done);
    [[nodiscard]] fleet::worker_status status_of(const life& of) const;

    fleet::scheduler_clock& clock_;
    settings options_;
    std::map<worker_id, std::shared_ptr<life>> lives_;
    std::vector<worker_event> events_;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t calls_ = 0;
};

/// A stand-in of the queues' policy service: allows a fixed part of the
/// workers for each step.
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
