#include "fleet/worker_speeds.hpp"

#include "codec/msgpack_fields.hpp"

#include <absl/hash/hash.h>
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace acaciastile::fleet
{

namespace
{

using nlohmann::json;

/// Largest deviation that one run counts, as a logarithm: long tails of run
/// times say little of a worker.
constexpr double most_deviation = 1.2;
/// A run that deviates by more than this from what is expected on its worker,
/// as a logarithm, is odd: it took 2.2 times as long, or less than half.
constexpr double odd_deviation = 0.8;
/// Odd runs in a row after which what was known of the worker is dropped: it
/// has become another one. Three by chance are 1 in 2,000 runs.
constexpr std::uint32_t odd_runs_to_restart = 3;
/// Runs that the evidence of a worker counts at most.
constexpr double most_runs = 24.0;
/// Runs of a worker that make it count in the spread of speeds.
constexpr double least_runs = 3.0;
/// Workers that are needed to tell a spread of speeds.
constexpr std::size_t least_workers = 8;
/// Variance of the logarithms of speeds below which they count as equal, which
/// is a standard deviation of a fifth. Tasks of one job are alike, so chance
/// makes some spread that single runs do not explain.
constexpr double least_variance = 0.04;
/// Weight of a run in the moving variance of single runs.
constexpr double variance_smoothing = 0.01;
/// Variance of single runs before any is known.
constexpr double initial_variance = 0.25;
/// Scale of the logistic distribution that is assumed until a queue has enough
/// runs; its standard deviation is about one half.
constexpr double assumed_scale = 0.28;
/// Weight of that distribution beside the runs of the queue, as runs.
constexpr double assumed_runs = 20.0;
/// Finished runs between two updates of the speeds; more on a large fleet.
constexpr std::uint32_t update_interval = 64;
constexpr std::uint32_t workers_per_interval = 4;
/// Runs of a queue below which its distribution tells no probability.
constexpr std::uint32_t least_queue_runs = 20;
/// Smallest weight of a run in the median of its queue.
constexpr double location_gain = 0.02;

double log_of(milliseconds time)
{
    return std::log(
        static_cast<double>(std::max(milliseconds{1}, time).count()));
}

double assumed_chance_above(double deviation)
{
    return 1.0 / (1.0 + std::exp(deviation / assumed_scale));
}

} // namespace

std::size_t run_time_distribution::bin_of(double deviation) noexcept
{
    const double at = (deviation - lowest) / bin_width;
    return at <= 0 ? 0 : std::min(bins - 1, static_cast<std::size_t>(at));
}

void run_time_distribution::note(double log_ms)
{
    if (runs_++ == 0)
    {
        location_ = log_ms;
    }
    const double deviation = log_ms - location_;
    // Approaches the median: the size of a deviation counts only near it.
    const double gain =
        std::max(location_gain, 1.0 / static_cast<double>(runs_));
    location_ += gain * std::clamp(deviation, -odd_deviation, odd_deviation);
    const double keep = 1.0 - 1.0 / memory;
    for (double& weight : weights_)
    {
        weight *= keep;
    }
    weight_ = weight_ * keep + 1.0;
    weights_.at(bin_of(deviation)) += 1.0;
}

double run_time_distribution::chance_above(double deviation) const
{
    const std::size_t bin = bin_of(deviation);
    // The part of the bin that lies above.
    const double left = std::clamp(
        lowest + bin_width * static_cast<double>(bin + 1) - deviation,
        0.0,
        bin_width);
    double above = weights_.at(bin) * left / bin_width;
    for (std::size_t at = bin + 1; at < bins; ++at)
    {
        above += weights_.at(at);
    }
    return (above + assumed_runs * assumed_chance_above(deviation)) /
           (weight_ + assumed_runs);
}

void worker_speeds::note(
    const queue_name& queue,
    const job_id& job,
    worker_handle worker,
    milliseconds took)
{
    run_time_distribution& times = queues_[queue];
    const double speed = std::log(speed_of(worker));
    const double log_ms = log_of(took);
    times.note(log_ms + speed);
    if (worker >= known_.size())
    {
        known_.resize(worker + 1);
        speeds_.resize(worker + 1, 1.0);
    }
    // The tasks of a job are alike: several on one worker tell as much as one.
    const std::size_t hash = absl::HashOf(job.str());
    const bool is_new = known_[worker].last_job != hash;
    known_[worker].last_job = hash;
    if (is_new && times.runs() >= least_queue_runs)
    {
        note_deviation(worker, times.location() - log_ms);
    }
    const auto interval = std::max(
        update_interval,
        static_cast<std::uint32_t>(known_.size()) / workers_per_interval);
    if (++noted_since_update_ >= interval)
    {
        update();
    }
}

void worker_speeds::note_deviation(worker_handle worker, double deviation)
{
    evidence& known = known_[worker];
    const double expected = std::log(speeds_[worker]);
    const double counted =
        std::clamp(deviation, -most_deviation, most_deviation);
    const double surprise = counted - expected;
    run_variance_ =
        run_variance_ == 0
            ? initial_variance
            : run_variance_ +
                  variance_smoothing * (surprise * surprise - run_variance_);
    const bool odd = std::abs(surprise) > odd_deviation;
    if (odd && surprise * known.odd_sum >= 0)
    {
        ++known.odd_runs;
        known.odd_sum += surprise;
    }
    else
    {
        known.odd_runs = odd ? 1 : 0;
        known.odd_sum = odd ? surprise : 0;
    }
    const double keep = known.runs >= most_runs ? 1.0 - 1.0 / most_runs : 1.0;
    known.sum = known.sum * keep + counted;
    known.runs = known.runs * keep + 1.0;
    if (known.odd_runs >= odd_runs_to_restart)
    {
        known.runs = known.odd_runs;
        known.sum = known.odd_sum + expected * known.runs;
        known.odd_runs = 0;
        known.odd_sum = 0;
        update();
    }
}

void worker_speeds::update()
{
    noted_since_update_ = 0;
    // Workers weigh by their runs, so that one of which little is known makes
    // no spread.
    std::size_t workers = 0;
    double runs = 0;
    double sum = 0;
    double squares = 0;
    for (const evidence& each : known_)
    {
        if (each.runs >= least_runs)
        {
            ++workers;
            runs += each.runs;
            sum += each.sum;
            squares += each.sum * each.sum / each.runs;
        }
    }
    uneven_ = false;
    double spread = 0;
    const double center = runs > 0 ? sum / runs : 0;
    if (workers >= least_workers)
    {
        // The part of the variance of the means that single runs explain.
        const double chance =
            run_variance_ * static_cast<double>(workers) / runs;
        spread = squares / runs - center * center - chance;
        uneven_ = spread >= least_variance;
    }
    for (std::size_t at = 0; at < known_.size(); ++at)
    {
        const evidence& each = known_[at];
        // Shrunk towards the usual speed by as much as the runs are uncertain.
        speeds_[at] = uneven_ ? std::exp(
                                    (each.sum - center * each.runs) /
                                    (each.runs + run_variance_ / spread))
                              : 1.0;
    }
}

double worker_speeds::chance_longer(
    const queue_name& queue,
    double speed,
    milliseconds limit,
    milliseconds expected) const
{
    if (limit <= milliseconds::zero())
    {
        return 1.0;
    }
    const auto at = queues_.find(queue);
    const double available = log_of(limit) + std::log(speed);
    if (at != queues_.end() && at->second.runs() >= least_queue_runs)
    {
        return at->second.chance_above(available - at->second.location());
    }
    return assumed_chance_above(available - log_of(expected));
}

milliseconds worker_speeds::typical(const queue_name& queue) const
{
    const auto at = queues_.find(queue);
    return at == queues_.end() ? milliseconds::zero()
                               : milliseconds(static_cast<milliseconds::rep>(
                                     std::exp(at->second.location())));
}

void worker_speeds::restore(worker_handle worker, const evidence& learnt)
{
    if (worker >= known_.size())
    {
        known_.resize(worker + 1);
        speeds_.resize(worker + 1, 1.0);
    }
    if (known_[worker].runs < learnt.runs)
    {
        known_[worker] = learnt;
        known_[worker].runs = std::min(learnt.runs, most_runs);
    }
    run_variance_ = run_variance_ == 0 ? initial_variance : run_variance_;
}

std::string encode(const std::vector<learnt_speed>& learnt)
{
    // Hundredths of a mean deviation and whole runs keep a row small.
    constexpr double unit = 100.0;
    json rows = json::array();
    for (const auto& [worker, known] : learnt)
    {
        rows.push_back(worker.str());
        rows.push_back(
            std::lround(unit * known.sum / std::max(1.0, known.runs)));
        rows.push_back(std::lround(known.runs));
    }
    return to_msgpack_text(rows);
}

result<std::vector<learnt_speed>> decode_learnt_speeds(std::string_view text)
{
    constexpr double unit = 100.0;
    constexpr std::size_t columns = 3;
    return decode_msgpack<std::vector<learnt_speed>>(
        text,
        [](const json& rows)
        {
            std::vector<learnt_speed> learnt;
            for (std::size_t at = 0; at + columns <= rows.size(); at += columns)
            {
                worker_speeds::evidence known;
                known.runs =
                    std::clamp(rows.at(at + 2).get<double>(), 0.0, most_runs);
                known.sum = std::clamp(
                                rows.at(at + 1).get<double>() / unit,
                                -most_deviation,
                                most_deviation) *
                            known.runs;
                learnt.emplace_back(
                    worker_id(rows.at(at).get<std::string>()), known);
            }
            return learnt;
        });
}

} // namespace acaciastile::fleet
