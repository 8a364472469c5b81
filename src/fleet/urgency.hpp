#pragma once

#include "fleet/job_tracker.hpp"

#include <map>

namespace acaciastile::fleet
{

/// How long runs take, learnt from those that ended well. Declared run times
/// are far off for some queues.
class run_time_estimates
{
public:
    void note(const queue_name& queue, milliseconds took);

    /// The mean of what is declared and what was learnt for the queue.
    [[nodiscard]] milliseconds
    expect(const queue_name& queue, const step_spec& step) const;

private:
    /// Weight of the newest run in the learnt mean.
    static constexpr double gain = 0.05;

    std::map<queue_name, double> mean_ms_;
};

/// Jobs that each account may hand in within its share, by a token bucket.
class account_rate_limiter
{
public:
    /// Takes one job in; false where the account is over its rate.
    [[nodiscard]] bool
    take(const account_name& account, double jobs_per_second, instant now);

private:
    /// Jobs that may come at once after a quiet time, in seconds of the rate.
    static constexpr double burst_seconds = 2.0;
    /// The least that may come at once, for accounts with small rates.
    static constexpr double min_burst_jobs = 5.0;

    struct bucket
    {
        double tokens = 0;
        instant filled{};
    };
    std::map<account_name, bucket> buckets_;
};

/// What a job can still achieve; lower comes first.
enum class urgency_class
{
    in_time, ///< Can end within its objective.
    late,    ///< Cannot, but is still of use.
    excess,  ///< Its account is over its rate.
    hopeless ///< Ends too late to be of use.
};

/// Longest chain of work left in one occurrence, the policy's answers included.
[[nodiscard]] milliseconds remaining_work(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates);

[[nodiscard]] urgency_class urgency_of(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates,
    instant now);

} // namespace acaciastile::fleet
