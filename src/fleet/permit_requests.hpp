#pragma once

#include "fleet/permit_demand.hpp"
#include "fleet/ports.hpp"
#include "fleet/room_claims.hpp"
#include "fleet/worker_table.hpp"

#include <absl/functional/function_ref.h>
#include <map>
#include <vector>

namespace acaciastile::fleet
{

/// A request to the policy service of a queue: which of these workers may run
/// the step?
struct permit_request
{
    step_id step;
    std::vector<worker_id> workers;
    std::uint32_t priority = 0; ///< Lower values are sent first.
    milliseconds expected{0};   ///< Expected response time.
    /// Set by `advice_dispatcher` each time it delivers the question. Zero
    /// until then, and from an owner of a build that sends no numbers.
    std::uint64_t number = 0;
    /// Unanswered requests of the account when this one was made. Among those
    /// of one priority, lower values are sent first.
    std::uint32_t turn = 0;
};

/// How many permit requests can be sent soon. Further ones would only become
/// outdated while they wait.
struct permit_request_budget
{
    std::size_t short_requests = 0;
    std::size_t long_requests = 0;
    milliseconds longest_short_request{0}; ///< By expected response time.
    /// Further short requests, for accounts without an unanswered one.
    std::size_t first_requests = 0;

    [[nodiscard]] bool is_spent() const noexcept
    {
        return short_requests == 0 && long_requests == 0 && first_requests == 0;
    }
    /// True if no request of an account with this many unanswered ones is
    /// possible.
    [[nodiscard]] bool is_spent(std::uint32_t unanswered) const noexcept
    {
        return short_requests == 0 && long_requests == 0 &&
               (first_requests == 0 || unanswered > 0);
    }
};

/// Tuning parameters of permit requests.
struct permit_request_settings
{
    /// Most workers in one permit request; a limit of the platform's interface.
    std::size_t max_workers_per_request = 100;
    /// Fraction of the workers that a policy is assumed to allow before its
    /// first response.
    double initial_allowed_share = 0.5;
    /// Weight of the newest response in the moving average of that fraction.
    double allowed_share_smoothing = 0.1;
    /// Factor below one that reduces the expected number of permits, so that a
    /// request names some spare workers: this costs less than a second request.
    double expected_permit_factor = 0.7;
    /// If too few workers are free, a step's first request also names busy
    /// ones, as some will become free before the permits expire. They are added
    /// while the time for all its workers is within this fraction of the base
    /// time.
    double busy_workers_time_share = 0.4;
    /// A gang's request names workers until they are expected to hold this many
    /// times its members, as free resources change before the response arrives.
    double gang_candidate_factor = 2.5;
    /// A request for a gang that would fit names further workers, one for each
    /// this many, as some may be taken before the response arrives.
    std::size_t spare_worker_divisor = 8;
    /// A permit may wait for this part of its validity until a run of its
    /// account ends. The rest is left for an estimate that is too short.
    double cap_wait_share = 0.25;
};

/// Chooses the workers of permit requests, and records the policy service's
/// responses. Deterministic, and does no I/O.
class permit_requests
{
public:
    using named_workers = std::vector<const worker_entry*>;

    /// What one planning pass knows.
    struct planning_view
    {
        const worker_table& workers;
        instant now;
        permit_request_budget budget; ///< Reduced by each request.
        /// True if the worker may run the step, whatever is free there.
        absl::FunctionRef<bool(const waiting_step&, const worker_entry&)>
            may_run;
        /// Sorts workers by how well their speeds suit the step.
        absl::FunctionRef<void(
            const waiting_step&, std::vector<const worker_entry*>&)>
            sort_by_speed;
        bool compares_speeds = false;
        /// How many times more workers than needed are compared.
        std::size_t choice_factor = 1;
        std::size_t& examined;
        /// Places of gangs on workers with permits, some of which have expired.
        const std::map<const step_entry*, named_workers>& gang_places;
        room_claims& claims; ///< Of requests without an answer.
        std::vector<permit_request>& decided;
    };

    explicit permit_requests(permit_request_settings settings = {})
        : settings_(settings)
    {
    }

    /// True if a request for the step may be made and the budget may allow it.
    [[nodiscard]] bool may_ask(
        const waiting_step& step,
        instant now,
        const permit_request_budget& budget) const;

    /// What the account's runs, which use `use`, are expected to free until
    /// permits for the step, if asked for now, have to be used. `run_time`:
    /// expected run time of a task.
    [[nodiscard]] resources ending_use(
        const waiting_step& step,
        const resources& use,
        milliseconds run_time) const;

    /// Asks for permits for so many waiting tasks of the step. `turn`: see
    /// `permit_request`. Returns false if no worker can be named or the budget
    /// does not allow the request.
    bool
    ask(planning_view& view,
        waiting_step& step,
        std::uint32_t tasks,
        std::uint32_t turn);

    /// Records the policy service's response to a request that named the
    /// workers `asked`. Its permits can be used until `usable_until`.
    void note_answer(
        job_tracker& jobs,
        const worker_table& workers,
        const step_id& step,
        const std::vector<worker_id>& asked,
        const permits& answer,
        instant usable_until);

    /// Records that a permit request failed. It is not repeated before
    /// `retry_not_before`.
    static void note_no_answer(
        job_tracker& jobs, const step_id& step, instant retry_not_before);

private:
    [[nodiscard]] named_workers
    task_workers(planning_view& view, waiting_step& step, std::uint32_t tasks);
    /// Adds workers that lack free resources now.
    void add_busy_workers(
        planning_view& view,
        const waiting_step& step,
        named_workers& named) const;
    [[nodiscard]] named_workers
    gang_workers(planning_view& view, const waiting_step& step);
    /// Workers for a gang's permit request on which the policy has not decided
    /// yet; those with room for the most members come first.
    [[nodiscard]] named_workers
    gang_candidates(planning_view& view, const waiting_step& step);
    /// Estimated fraction of the workers that a queue's policy allows.
    [[nodiscard]] double& allowed_share_of(const queue_name& queue);

    permit_request_settings settings_;
    std::map<queue_name, double> allowed_share_;
};

} // namespace acaciastile::fleet
