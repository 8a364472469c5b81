#include "fleet/urgency.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// A result that takes more than this many times its objective is useless.
constexpr double useful_objective_factor = 3.0;
/// Added to the remaining work as a fraction of it, as estimates are rough.
constexpr double slack_fraction = 0.1;
/// Used to estimate the response time of the policy service.
constexpr double typical_workers_per_request = 30.0;

milliseconds policy_answer_time(const queue_settings& queue)
{
    if (!queue.advice)
    {
        return milliseconds::zero();
    }
    return std::chrono::ceil<milliseconds>(
        queue.advice->base +
        queue.advice->per_worker * typical_workers_per_request);
}

/// Length of the critical path, counting only steps for which `is_counted`
/// returns true.
template<class IsCounted>
milliseconds critical_path(
    const job_entry& job,
    const queue_settings& queue,
    const run_time_estimates& estimates,
    IsCounted is_counted)
{
    std::vector<milliseconds> finish(job.job.request.steps.size());
    milliseconds longest{0};
    for (std::size_t at = 0; at < finish.size(); ++at)
    {
        const step_spec& spec = job.job.request.steps[at];
        for (const std::uint32_t before : spec.after)
        {
            finish[at] = std::max(finish[at], finish[before]);
        }
        if (is_counted(at))
        {
            finish[at] += estimates.expect(job.job.queue, spec) +
                          policy_answer_time(queue);
        }
        longest = std::max(longest, finish[at]);
    }
    return longest;
}

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<milliseconds::rep>(
        static_cast<double>(time.count()) * factor));
}

} // namespace

void run_time_estimates::note(const queue_name& queue, milliseconds took)
{
    const auto value = static_cast<double>(took.count());
    const auto [at, inserted] = mean_ms_.try_emplace(queue, value);
    if (!inserted)
    {
        at->second +=
            smoothing_factor *
            (std::min(value, longest_counted * at->second) - at->second);
    }
}

milliseconds
run_time_estimates::expect(const queue_name& queue, const step_spec& step) const
{
    const auto at = mean_ms_.find(queue);
    if (at == mean_ms_.end())
    {
        return step.estimate;
    }
    return (step.estimate +
            milliseconds(static_cast<milliseconds::rep>(at->second))) /
           2;
}

bool account_rate_limiter::take(
    const account_name& account, double jobs_per_second, instant now)
{
    const double most =
        std::max(min_burst_jobs, burst_seconds * jobs_per_second);
    const auto [at, inserted] =
        buckets_.try_emplace(account, bucket{most, now});
    bucket& held = at->second;
    const std::chrono::duration<double> since = now - held.filled;
    held.tokens = std::min(most, held.tokens + since.count() * jobs_per_second);
    held.filled = now;
    if (held.tokens < 1.0)
    {
        return false;
    }
    held.tokens -= 1.0;
    return true;
}

milliseconds remaining_work(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates)
{
    const auto& steps = job.occurrences[occurrence];
    return critical_path(
        job,
        queue,
        estimates,
        [&](std::size_t at)
        { return steps[at].done < steps[at].tasks.size(); });
}

urgency_limits limits_of(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates)
{
    const milliseconds whole =
        critical_path(job, queue, estimates, [](std::size_t) { return true; });
    const milliseconds objective =
        scaled(whole, queue.stretch) + queue.latency_objective;
    const milliseconds left = remaining_work(job, occurrence, queue, estimates);
    const instant latest_start = job.occurrences[occurrence].front().opened -
                                 left - scaled(left, slack_fraction);
    return {
        latest_start + objective,
        latest_start + scaled(objective, useful_objective_factor),
        left};
}

bool is_tight(const urgency_limits& limits, instant now)
{
    return limits.in_time_until - now < limits.remaining / 2;
}

urgency_class
urgency_of(const job_entry& job, const urgency_limits& limits, instant now)
{
    return job.excess                    ? urgency_class::excess
           : now <= limits.in_time_until ? urgency_class::in_time
           : now <= limits.useful_until  ? urgency_class::late
                                         : urgency_class::hopeless;
}

} // namespace acaciastile::fleet
