#pragma once

#include "fleet/job_tracker.hpp"
#include "fleet/urgency.hpp"
#include "fleet/worker_table.hpp"

#include <map>
#include <set>
#include <vector>

namespace acaciastile::fleet
{

struct start_decision
{
    task_ref task;
    run_number run = 0;
    worker_id worker;
    std::string ticket;
    std::string checkpoint;
};

/// A question for the policy service of a queue.
struct permit_request
{
    step_id step;
    std::vector<worker_id> workers;
    std::uint32_t priority = 0; ///< Lower is asked first.
    milliseconds expected{0};   ///< How long the service takes to answer.
};

/// How many questions can be put soon; more would only grow old.
struct permit_request_budget
{
    std::size_t short_requests = 0;
    std::size_t long_requests = 0;
    milliseconds longest_short_request{0}; ///< Expected time of a brief one.
};

struct plan
{
    std::vector<start_decision> starts;
    std::vector<permit_request> permit_requests;
};

struct planner_settings
{
    /// Workers that one question may name, by the platform's interface.
    std::size_t max_workers_per_request = 100;
    /// A permit is not used in its last moments: the order has to arrive.
    milliseconds permit_expiry_margin{60};
    /// Assumed part of the workers that a policy allows, until learnt.
    double initial_allowed_share = 0.5;
    /// Weight of the newest answer in the learnt part.
    double allowed_share_smoothing = 0.1;
    /// Part of the expected permits that a question counts on: naming a few
    /// workers more costs less than asking twice.
    double expected_permit_factor = 0.7;
    /// A first question also names workers without room, as some will have
    /// room before the permits run out, for at most this part of its base time.
    double busy_workers_time_share = 0.4;
    /// Expected places of a gang's question, as a multiple of its members: room
    /// changes while the service answers.
    double gang_candidate_factor = 2.5;
    /// Gangs that may hold workers free for themselves at the same time.
    std::size_t max_reserving_gangs = 3;
};

/// Decides which tasks start where and what to ask the policy service. The
/// same state and calls give the same decisions; no I/O.
class planner
{
public:
    explicit planner(planner_settings settings = {}) : settings_(settings) {}

    /// Decides for all open jobs, and notes the starts in both tables.
    /// `inherited_may_start`: every worker on which a predecessor may have
    /// started something was heard, or its lease has ended.
    [[nodiscard]] plan decide(
        job_tracker& jobs,
        worker_table& workers,
        const configuration& config,
        instant now,
        bool inherited_may_start,
        permit_request_budget questions);

    /// A run ended well after this time.
    void note_run_time(const queue_name& queue, milliseconds took)
    {
        run_times_.note(queue, took);
    }

    /// Takes in what the policy service answered.
    void note_answer(
        job_tracker& jobs,
        worker_table& workers,
        const step_id& step,
        const std::vector<worker_id>& asked,
        const permits& answer,
        instant usable_until);

    /// The question was not answered; it is asked again after a while.
    void note_no_answer(
        job_tracker& jobs, const step_id& step, instant retry_not_before);

private:
    struct round;
    struct candidate;

    void place_step(round& now, candidate& step);
    void place_tasks(round& now, candidate& step);
    /// Workers with room for a task of the step that may run it now.
    [[nodiscard]] std::vector<worker_entry*>
    permitted_workers(round& now, const candidate& step) const;
    /// Lower is better: a tight fit, near the data, not where it failed last.
    [[nodiscard]] static double score(
        const candidate& step,
        const task_entry& task,
        const worker_entry& worker);
    [[nodiscard]] static bool
    below_worker_limit(const candidate& step, const worker_entry& worker);
    bool place_gang(round& now, candidate& step);
    [[nodiscard]] std::vector<worker_entry*> fit_gang(
        round& now,
        candidate& step,
        bool need_permits,
        const std::string& rack);
    void reserve_workers(round& now, candidate& step);
    void ask_for_tasks(round& now, candidate& step);
    /// Adds workers without room to a question's.
    void add_busy_workers(
        round& now, const candidate& step, std::vector<worker_id>& named) const;
    void ask_for_gang(
        round& now, candidate& step, const std::vector<worker_entry*>& places);
    /// Unknown workers for a gang's question, those with room first.
    [[nodiscard]] std::vector<worker_id>
    gang_candidates(round& now, const candidate& step);
    /// Learnt part of the workers that a queue's policy allows.
    [[nodiscard]] double& allowed_share_of(const queue_name& queue);
    void ask(round& now, candidate& step, std::vector<worker_id> workers);
    void start(
        round& now,
        candidate& step,
        std::uint32_t index,
        run_number run,
        worker_entry& worker);
    [[nodiscard]] bool may_run(
        const round& now,
        const candidate& step,
        const worker_entry& worker,
        bool need_permit) const;

    planner_settings settings_;
    std::map<queue_name, double> allowed_share_;
    run_time_estimates run_times_;
    /// Workers that a gang keeps free for itself until it fits.
    std::map<step_id, std::set<worker_id>> held_;
};

/// What a task takes of its worker's room.
[[nodiscard]] resources resources_needed(const step_spec& step);

} // namespace acaciastile::fleet
