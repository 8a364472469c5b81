#pragma once

#include "fleet/job_tracker.hpp"
#include "fleet/permit_requests.hpp"
#include "fleet/unsettled_orders.hpp"
#include "fleet/urgency.hpp"
#include "fleet/worker_speeds.hpp"
#include "fleet/worker_table.hpp"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace acaciastile::fleet
{

/// A decision to start one run of a task on a worker.
struct start_decision
{
    task_ref task;
    run_number run = 0;
    worker_id worker;
    std::string ticket; ///< Permit of the policy service; empty without one.
    std::string checkpoint;
    /// Limit of the step's tasks on one worker, and how many of its runs were
    /// counted on this one before; zero without a limit.
    std::uint32_t worker_limit = 0;
    std::uint32_t beside = 0;
    double speed = 1.0; ///< Learnt speed of the worker.
    /// Time within which the run should end, as the planner knew.
    milliseconds time_left{0};
    /// Probability that it takes longer.
    double chance_late = 0;
    /// How long it has waited for orders of earlier runs (`held_start`).
    std::optional<milliseconds> held;
};

/// Why a task that is bound to a worker (`unsettled_order_table`) does not
/// start there.
enum class hold_reason : std::uint8_t
{
    unusable,   ///< The worker is out of sight or takes no runs now.
    not_barred, ///< Its present incarnation may still carry the order out.
    no_room
};

/// Name of a reason, for logs.
[[nodiscard]] constexpr std::string_view name_of(hold_reason reason) noexcept
{
    constexpr std::array<std::string_view, 3> names{
        "unusable", "not_barred", "no_room"};
    return names[static_cast<std::size_t>(reason)];
}

/// A task whose next run waits for an order that may still be carried out.
struct held_start
{
    task_ref task;
    worker_id worker;
    hold_reason reason = hold_reason::unusable;
};

/// Most tasks whose hold has begun which one pass reports for the log.
inline constexpr std::size_t max_holds_logged = 8;

/// Most permits without a start that one pass reports for the log.
inline constexpr std::size_t max_permit_waits_logged = 8;
/// Most steps that no worker can run which one pass reports for the log.
inline constexpr std::size_t max_impossible_logged = 8;

/// A step whose permits have led to no start, for the first time of its job.
struct first_permit_wait
{
    step_id step;
    permit_wait reason = permit_wait::expired;
};

/// The outcome of one planning pass.
struct plan
{
    std::vector<start_decision> starts;
    std::vector<permit_request> permit_requests;
    /// Answers of the policy service by which this pass has begun to start
    /// tasks.
    std::size_t permits_used = 0;
    /// Steps that have permits and did not start, by reason.
    std::array<std::size_t, permit_wait_names.size()> permit_waits{};
    std::vector<first_permit_wait> first_permit_waits;
    /// Steps that no listed worker could run even if all were idle.
    std::size_t impossible_steps = 0;
    /// The first such step of each job, once.
    std::vector<step_id> first_impossible;
    /// Tasks that are held, as far as the pass has examined them.
    std::size_t held_tasks = 0;
    std::vector<held_start> first_held; ///< Those whose hold has begun.
    /// False if the pass stopped at its limit of work. The next one looks at
    /// the steps that are left.
    bool complete = true;
    /// Steps and workers that the pass has examined.
    std::size_t examined = 0;
};

/// Tuning parameters of the planner.
struct planner_settings
{
    permit_request_settings permits;
    /// Permits that expire within this time are not used, as the start order
    /// still has to reach the worker.
    milliseconds permit_expiry_margin{60};
    /// While this many gangs have reservations, no further gang reserves
    /// workers whose runs have yet to end.
    std::size_t max_reserving_gangs = 3;
    /// Gangs that are out of time may have reserved at most this part of the
    /// workers when another one of them reserves.
    std::size_t late_reservation_divisor = 8;
    /// How long the computed urgency limits of a step are used, as estimates of
    /// run times change slowly.
    milliseconds urgency_refresh{1'000};
    /// Workers with enough free resources that are compared for a task without
    /// permits; the tightest fits come first.
    std::size_t max_compared_workers = 64;
    /// Jobs of one rank that end in time only if all goes well are planned
    /// after those with time to spare (`is_tight`).
    bool defer_tight_jobs = true;
    /// Where workers differ in speed: cost of a run that is sure to end too
    /// late, in units of the score, whose largest part for tightness is one. A
    /// few in a hundred more chance to be late outweigh any tightness.
    double lateness_cost = 10.0;
    /// Cost of a worker whose speed is higher by a factor of e: what can end in
    /// time on a slower one leaves the fast ones to what cannot.
    double speed_cost = 1.0;
    /// A cold worker counts as this much slower, until its own runs tell.
    double cold_speed = 0.6;
    /// Factor on the number of workers that are compared for a permit request
    /// or a gang where workers differ in speed.
    std::size_t speed_choice_factor = 12;
    /// Steps and workers examined in one pass, so that a long queue does not
    /// keep the control thread from other calls.
    std::size_t max_examined = 100'000;
    /// If the pass before has not reached all steps, this part of that goes to
    /// those that follow the last one that it reached, whatever their urgency.
    std::size_t resumed_divisor = 4;
};

/// Decides which tasks start on which workers, and which permits to request
/// from the policy service. Deterministic, and does no I/O.
class planner
{
public:
    explicit planner(planner_settings settings = {})
        : settings_(settings), permits_(settings.permits)
    {
    }

    /// Runs one planning pass over all open jobs and records the starts in
    /// `jobs` and `workers`. `inherited_may_start` tells that every worker on
    /// which a previous owner may have started runs has reported or its lease
    /// has expired; until then, jobs accepted under a previous owner wait, and
    /// what they may be using counts against the caps of their accounts.
    /// `unheard_capacity` is the capacity of those workers together, if it is
    /// known: no more than that can be in use unknown to this owner. `orders`
    /// tells which tasks are bound to workers; null if none is.
    [[nodiscard]] plan decide(
        job_tracker& jobs,
        worker_table& workers,
        const configuration& config,
        instant now,
        bool inherited_may_start,
        permit_request_budget budget,
        const std::optional<resources>& unheard_capacity = {},
        const unsettled_order_table* orders = nullptr);

    /// True if workers are reserved for this gang.
    [[nodiscard]] bool has_reservation(const step_id& gang) const
    {
        return reserved_workers_.contains(gang);
    }

    /// Records the duration of a successful run. `tells_speed`: nothing but the
    /// worker's speed and chance has made it longer or shorter.
    void note_run_time(
        const queue_name& queue,
        const job_id& job,
        worker_handle worker,
        milliseconds took,
        bool tells_speed)
    {
        run_times_.note(queue, took);
        if (tells_speed)
        {
            speeds_.note(queue, job, worker, took);
        }
    }

    [[nodiscard]] worker_speeds& speeds() noexcept { return speeds_; }
    [[nodiscard]] const worker_speeds& speeds() const noexcept
    {
        return speeds_;
    }

    /// What the policy service has been asked and has answered.
    [[nodiscard]] permit_requests& permits() noexcept { return permits_; }

private:
    struct planning_pass;

    /// A worker that is reserved for a gang in the current pass.
    struct reservation
    {
        std::uint64_t pass = 0; ///< Valid only in the pass of this number.
        const step_entry* step = nullptr;
        std::pair<urgency_class, std::uint32_t> rank;
    };

    /// What the job's waiting tasks would use. An earlier owner may have
    /// started them.
    [[nodiscard]] static resources
    waiting_use(const planning_pass& pass, const job_entry& job);
    /// True if the listed workers could run the step if they were idle.
    [[nodiscard]] bool is_possible(
        const planning_pass& pass,
        const job_entry& job,
        step_entry& step,
        const queue_settings& queue) const;
    static void note_impossible(
        planning_pass& pass, job_entry& job, const step_entry& step);
    /// Places the steps as far as the pass may examine them. Steps that it does
    /// not reach come first in a part of the next pass, so each is reached
    /// within as many passes as its predecessors need of that part.
    void place_all(planning_pass& pass, std::vector<waiting_step>& waiting);
    /// Steps with waiting tasks, most urgent first.
    [[nodiscard]] std::vector<waiting_step>
    collect_candidates(planning_pass& pass, bool inherited_may_start);
    void place_step(planning_pass& pass, waiting_step& step);
    void place_tasks(planning_pass& pass, waiting_step& step);
    /// The worker that a waiting task is bound to, if it is.
    [[nodiscard]] static std::optional<worker_id> bound_worker(
        const planning_pass& pass,
        const waiting_step& step,
        std::uint32_t index);
    /// Starts a task on the worker that it is bound to, or records that it is
    /// held. `permitted`: as for `best_worker`.
    void place_bound_task(
        planning_pass& pass,
        waiting_step& step,
        std::uint32_t index,
        const worker_id& bound,
        const std::vector<worker_entry*>& permitted);
    /// Why the task cannot start on that worker now; nothing if it can.
    [[nodiscard]] std::optional<hold_reason> hold_at(
        const planning_pass& pass,
        const waiting_step& step,
        std::uint32_t index,
        const worker_entry* worker,
        const std::vector<worker_entry*>& permitted) const;
    static void note_held(
        planning_pass& pass,
        const waiting_step& step,
        std::uint32_t index,
        const worker_id& worker,
        hold_reason reason);
    /// Workers with a usable permit for the step and enough free resources.
    /// Notes why the others do not count.
    [[nodiscard]] std::vector<worker_entry*>
    permitted_workers(planning_pass& pass, waiting_step& step) const;
    /// Why no task of the step can start with the permit; nothing if one can.
    [[nodiscard]] std::optional<permit_wait> wait_at(
        const planning_pass& pass,
        const waiting_step& step,
        const step_permits::grant& grant) const;
    /// Counts the reason why the step's permits lead to no start, if any.
    static void note_wait(planning_pass& pass, const waiting_step& step);
    /// Counts what the step has asked for, or adds it to those that may ask.
    void add_demand(planning_pass& pass, waiting_step& step);
    /// Asks for permits for the steps that may, as the budget allows.
    void request_permits(planning_pass& pass);
    /// The worker with the lowest score for the task: among `permitted` if the
    /// step requires permits, otherwise among all. Null if there is none.
    [[nodiscard]] worker_entry* best_worker(
        planning_pass& pass,
        const waiting_step& step,
        std::uint32_t index,
        const std::vector<worker_entry*>& permitted) const;
    /// Cost of placing the task on the worker; lower is better. Prefers a tight
    /// fit, the rack of the task's data, and a worker other than the one where
    /// the task failed last.
    [[nodiscard]] static double score(
        const waiting_step& step,
        const task_entry& task,
        const worker_entry& worker);
    /// Speed that is expected of the worker now.
    [[nodiscard]] double
    expected_speed(const planning_pass& pass, const worker_entry& worker) const;
    /// Part of the score that depends on the worker's speed: how likely a run
    /// of the step ends there after the step's time is over, and how fast a
    /// worker it takes. Zero for all where workers do not differ.
    [[nodiscard]] double speed_score(
        const planning_pass& pass,
        const waiting_step& step,
        const worker_entry& worker) const;
    /// How long a run of the step may take so that the job still ends within
    /// its objective, or usefully where it cannot.
    [[nodiscard]] milliseconds
    time_left(const planning_pass& pass, const waiting_step& step) const;
    /// Probability that a run of the step takes longer than that on a worker of
    /// the given speed.
    [[nodiscard]] double chance_late(
        const planning_pass& pass,
        const waiting_step& step,
        double speed) const;
    /// Sorts workers by `speed_score` where workers differ in speed.
    template<class Worker>
    void sort_by_speed(
        const planning_pass& pass,
        const waiting_step& step,
        std::vector<Worker*>& workers) const;
    /// How many times more workers than needed are compared for their speed.
    [[nodiscard]] std::size_t choice_factor() const noexcept
    {
        return speeds_.is_uneven() ? settings_.speed_choice_factor : 1;
    }
    /// How long a run of the task is on trial: it is, if runs of it may have
    /// crashed their workers.
    [[nodiscard]] static run_entry::trial_length
    trial_of(const waiting_step& step, std::uint32_t index);
    /// True if the trial may take place on the worker: nothing else there has
    /// only just started.
    [[nodiscard]] static bool may_try(
        const planning_pass& pass,
        run_entry::trial_length trial,
        const worker_entry& worker);
    [[nodiscard]] static bool
    below_worker_limit(const waiting_step& step, const worker_entry& worker);
    /// Starts the gang if all its members fit; otherwise reserves workers and
    /// requests permits.
    bool place_gang(planning_pass& pass, waiting_step& step);
    /// Members of a gang that are bound to workers, by their index.
    struct bound_members
    {
        std::map<std::uint32_t, worker_entry*> places;
        std::map<worker_handle, std::int64_t> on_worker; ///< Their numbers.

        /// Number of further members that fit on a worker beside them.
        [[nodiscard]] std::int64_t
        places_left(const worker_entry& worker, const waiting_step& step) const;
    };
    /// Finds the bound members of a gang. Returns false if one cannot start on
    /// its worker now, and records that it is held.
    bool place_bound_members(
        planning_pass& pass, const waiting_step& step, bound_members& bound);
    /// One worker for each member that is not bound, or nothing if not all of
    /// them fit. Without `need_permits`, expired permits count too. A non-null
    /// `rack` limits the choice to that rack.
    [[nodiscard]] std::vector<worker_entry*> fit_gang(
        planning_pass& pass,
        waiting_step& step,
        bool need_permits,
        const rack_name* rack,
        const bound_members& bound);
    /// As `fit_gang`, within the rack that the members fit into; nothing if
    /// there is none.
    [[nodiscard]] std::vector<worker_entry*> fit_gang_into_rack(
        planning_pass& pass, waiting_step& step, const bound_members& bound);
    /// Reserves workers for a gang that does not fit yet, so that it fits once
    /// their present runs have ended.
    void reserve_workers(planning_pass& pass, waiting_step& step);
    /// True if the gang fits on the workers that are reserved for it once they
    /// are idle. They may have shrunk or left since.
    [[nodiscard]] static bool can_hold(
        const planning_pass& pass,
        const waiting_step& step,
        const std::vector<worker_handle>& reserved);
    /// Number of workers that gangs have reserved.
    [[nodiscard]] std::size_t count_reserved() const;
    void reserve(
        planning_pass& pass, worker_handle worker, const waiting_step& step);
    void start(
        planning_pass& pass,
        waiting_step& step,
        std::uint32_t index,
        run_number run,
        worker_entry& worker);
    /// Checks that the worker is usable, its label, reservations and limits.
    /// Ignores free resources and permits.
    [[nodiscard]] bool may_run(
        const planning_pass& pass,
        const waiting_step& step,
        const worker_entry& worker) const;
    [[nodiscard]] bool is_valid(
        const planning_pass& pass,
        const step_permits::grant& grant,
        const worker_entry& worker) const;

    planner_settings settings_;
    permit_requests permits_;
    /// Passes of one round together search workers once for every step that
    /// needs permits: a pass that ends early is continued by the next one.
    std::uint64_t search_round_ = 1;
    run_time_estimates run_times_;
    worker_speeds speeds_;
    /// Workers reserved for each gang until all its members fit.
    std::map<step_id, std::vector<worker_handle>> reserved_workers_;
    std::uint64_t pass_count_ = 0;
    /// `worker_table::abilities_version` and the version of the configuration
    /// of the pass before, and how often they have changed.
    std::pair<std::uint64_t, std::uint64_t> abilities_seen_;
    std::uint64_t abilities_epoch_ = 0;
    /// The step after the last one that the pass before has reached, and its
    /// place in the order; empty if it has reached all.
    struct resume_point
    {
        step_id step;
        std::size_t position = 0;
    };
    std::optional<resume_point> resume_at_;
    std::vector<reservation> reservations_; ///< By worker.
};

/// The resources that a task of the step occupies on its worker.
[[nodiscard]] resources resources_needed(const step_spec& step);

} // namespace acaciastile::fleet
