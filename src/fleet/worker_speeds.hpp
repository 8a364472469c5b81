#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "fleet/job.hpp"
#include "fleet/worker_set.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace acaciastile::fleet
{

/// Distribution of the run times of one queue on a worker of usual speed, from
/// finished runs. Works on the logarithm of the time, as run times differ by
/// factors. Does no I/O.
class run_time_distribution
{
public:
    /// Records the logarithm of a run time in milliseconds, corrected by the
    /// speed of its worker.
    void note(double log_ms);

    /// Logarithm of the median in milliseconds; zero without runs.
    [[nodiscard]] double location() const noexcept { return location_; }
    /// Fraction of the runs whose logarithm lies above the median by more than
    /// `deviation`.
    [[nodiscard]] double chance_above(double deviation) const;
    [[nodiscard]] std::uint32_t runs() const noexcept { return runs_; }

private:
    /// Range and width of the bins of deviations from the median.
    static constexpr double lowest = -2.0;
    static constexpr double bin_width = 0.1;
    static constexpr std::size_t bins = 50;
    /// Runs that the distribution remembers, about.
    static constexpr double memory = 400.0;

    [[nodiscard]] static std::size_t bin_of(double deviation) noexcept;

    double location_ = 0;
    std::uint32_t runs_ = 0;
    std::array<double, bins> weights_{};
    double weight_ = 0;
};

/// Learns how fast each worker is, compared with the others, from the durations
/// of successful runs. What workers of one speed differ by chance is told from
/// true differences by the spread of the runs: without true differences all
/// speeds are one. Does no I/O.
class worker_speeds
{
public:
    /// What is known of one worker.
    struct evidence
    {
        double sum = 0;  ///< Of deviations; positive for a fast worker.
        double runs = 0; ///< Runs in that sum; older ones count less.
        /// Latest runs in a row that all were far slower, or all far faster,
        /// than expected, and the sum of their deviations.
        std::uint32_t odd_runs = 0;
        double odd_sum = 0;
        std::size_t last_job = 0; ///< Hash of the job of the latest run.
    };

    /// Records the duration of a successful run.
    void note(
        const queue_name& queue,
        const job_id& job,
        worker_handle worker,
        milliseconds took);

    /// Speed of the worker as a multiple of the usual one; one if it is not
    /// known to differ.
    [[nodiscard]] double speed_of(worker_handle worker) const
    {
        return worker < speeds_.size() ? speeds_[worker] : 1.0;
    }
    /// True if workers differ in speed beyond chance.
    [[nodiscard]] bool is_uneven() const noexcept { return uneven_; }

    /// Probability that a run of the queue takes longer than `limit` on a
    /// worker of the given speed. Assumes that runs take about `expected` while
    /// the queue has too few to tell.
    [[nodiscard]] double chance_longer(
        const queue_name& queue,
        double speed,
        milliseconds limit,
        milliseconds expected) const;
    /// The median run time on a worker of usual speed; zero if unknown.
    [[nodiscard]] milliseconds typical(const queue_name& queue) const;

    /// Runs on which the speed of the worker rests, and the evidence itself for
    /// storage.
    [[nodiscard]] evidence evidence_of(worker_handle worker) const
    {
        return worker < known_.size() ? known_[worker] : evidence{};
    }
    /// Takes over what an earlier owner has learnt of a worker, unless more is
    /// known here.
    void restore(worker_handle worker, const evidence& learnt);
    /// Computes speeds anew after `restore`.
    void update();

private:
    void note_deviation(worker_handle worker, double deviation);

    std::map<queue_name, run_time_distribution> queues_;
    std::vector<evidence> known_;
    std::vector<double> speeds_;
    bool uneven_ = false;
    double run_variance_ = 0; ///< Of the deviations of single runs.
    std::uint32_t noted_since_update_ = 0;
};

/// What is learnt of one worker, under the id by which it is stored.
using learnt_speed = std::pair<worker_id, worker_speeds::evidence>;

/// Encode and decode what an owner has learnt for its successor. Errors when
/// decoding: `malformed`.
[[nodiscard]] std::string encode(const std::vector<learnt_speed>& learnt);
[[nodiscard]] result<std::vector<learnt_speed>>
decode_learnt_speeds(std::string_view text);

} // namespace acaciastile::fleet
