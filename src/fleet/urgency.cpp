#include "fleet/urgency.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// Beyond this many times its objective a result is of no use.
constexpr double use_limit = 3.0;
/// Part of the work left that is kept as slack: estimates are rough.
constexpr double slack = 0.1;
/// Workers named in a typical question to the policy service.
constexpr double workers_asked = 30.0;

milliseconds advice_time(const queue_settings& queue)
{
    if (!queue.advice)
    {
        return milliseconds::zero();
    }
    return std::chrono::ceil<milliseconds>(
        queue.advice->base + queue.advice->per_worker * workers_asked);
}

/// Longest chain over the steps that `counts` says yes to.
template<class Counts>
milliseconds longest_chain(
    const job_entry& job,
    const queue_settings& queue,
    const run_time_estimates& estimates,
    Counts counts)
{
    std::vector<milliseconds> until(job.job.request.steps.size());
    milliseconds longest{0};
    for (std::size_t at = 0; at < until.size(); ++at)
    {
        const step_spec& spec = job.job.request.steps[at];
        for (const std::uint32_t before : spec.after)
        {
            until[at] = std::max(until[at], until[before]);
        }
        if (counts(at))
        {
            until[at] +=
                estimates.expect(job.job.queue, spec) + advice_time(queue);
        }
        longest = std::max(longest, until[at]);
    }
    return longest;
}

milliseconds scaled(milliseconds time, double by)
{
    return milliseconds(
        static_cast<milliseconds::rep>(static_cast<double>(time.count()) * by));
}

} // namespace

void run_time_estimates::note(const queue_name& queue, milliseconds took)
{
    const auto value = static_cast<double>(took.count());
    const auto [at, fresh] = mean_ms_.try_emplace(queue, value);
    if (!fresh)
    {
        at->second += gain * (value - at->second);
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

bool account_rates::take(
    const account_name& account, double jobs_per_second, instant now)
{
    const double most = std::max(least_burst, burst_seconds * jobs_per_second);
    const auto [at, fresh] = buckets_.try_emplace(account, bucket{most, now});
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

milliseconds work_left(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates)
{
    const auto& steps = job.occurrences[occurrence];
    return longest_chain(
        job,
        queue,
        estimates,
        [&](std::size_t at)
        { return steps[at].done < steps[at].tasks.size(); });
}

prospect prospect_of(
    const job_entry& job,
    std::uint32_t occurrence,
    const queue_settings& queue,
    const run_time_estimates& estimates,
    instant now)
{
    if (job.excess)
    {
        return prospect::excess;
    }
    const milliseconds whole =
        longest_chain(job, queue, estimates, [](std::size_t) { return true; });
    const milliseconds objective =
        scaled(whole, queue.stretch) + queue.latency_objective;
    const milliseconds left = work_left(job, occurrence, queue, estimates);
    const milliseconds end = now - job.occurrences[occurrence].front().opened +
                             left + scaled(left, slack);
    return end <= objective                      ? prospect::in_time
           : end <= scaled(objective, use_limit) ? prospect::late
                                                 : prospect::hopeless;
}

} // namespace acaciastile::fleet
