#pragma once

#include "fleet/job_tracker.hpp"

#include <map>

namespace acaciastile::fleet
{

/// Estimates run times from the durations of successful runs, as the declared
/// run times of some queues are far off.
class run_time_estimates
{
public:
    /// Records the duration of a successful run.
    void note(const queue_name& queue, milliseconds took);

    /// The mean of the step's declared run time and the moving average of its
    /// queue; only the declared time while the queue has no successful run.
    [[nodiscard]] milliseconds
    expect(const queue_name& queue, const step_spec& step) const;

private:
    /// Weight of the newest run in the moving average.
    static constexpr double smoothing_factor = 0.05;
    /// A run counts as at most this multiple of the average: one in a long tail
    /// says little of the next.
    static constexpr double longest_counted = 3.0;

    std::map<queue_name, double> mean_ms_;
};

/// Limits the rate of jobs of each account to its share, by a token bucket.
class account_rate_limiter
{
public:
    /// Counts one job. Returns false if the account is over its rate.
    [[nodiscard]] bool
    take(const account_name& account, double jobs_per_second, instant now);

private:
    /// Size of the bucket, as a time at the account's rate.
    static constexpr double burst_seconds = 2.0;
    /// Lower limit of the bucket's size, for accounts with low rates.
    static constexpr double min_burst_jobs = 5.0;

    struct bucket
    {
        double tokens = 0;
        instant filled{};
    };
    std::map<account_name, bucket> buckets_;
};

/// How useful the result of a job can still be; lower values are planned
/// first.
enum class urgency_class
{
    in_time, ///< Expected to end within its objective.
    late,    ///< Expected to miss its objective, but still useful.
    excess,  ///< Accepted while its account was over its rate.
    hopeless ///< Expected to end too late to be useful.
};

/// True if the result no longer counts on the job's objective.
[[nodiscard]] constexpr bool is_out_of_time(urgency_class urgency) noexcept
{
    return urgency == urgency_class::excess ||
           urgency == urgency_class::hopeless;
}

/// Length of the critical path through the unfinished steps of an occurrence,
/// including the response times of the policy service.
[[nodiscard]] milliseconds remaining_work(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates);

/// Until when the remaining work of an occurrence can start so that it ends
/// within its latency objective, and within the time in which its result is
/// useful. The objective is the queue's `stretch` times the critical path of
/// all steps, plus its `latency_objective`.
[[nodiscard]] urgency_limits limits_of(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates);

/// True if an occurrence ends within its objective only if its remaining work
/// takes less than one and a half times what is expected. Run times are known
/// roughly, so its chance has begun to fall. While room is short, work that has
/// not waited as long gains more: served in the order of arrival, all would
/// start when their chance is at its lowest.
[[nodiscard]] bool is_tight(const urgency_limits& limits, instant now);

/// The urgency of an occurrence of the job with these limits.
[[nodiscard]] urgency_class
urgency_of(const job_entry& job, const urgency_limits& limits, instant now);

} // namespace acaciastile::fleet
