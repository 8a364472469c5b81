#pragma once

#include "policy/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace acaciastile::bench
{

struct cost_size
{
    std::size_t workers = 23'000;
    std::size_t teams = 650;
    std::size_t queued = 100'000; ///< Waiting tasks.
};

/// Times of single calls, in microseconds.
struct cost_times
{
    std::size_t calls = 0;
    std::size_t placements = 0;
    double p50_us = 0.0;
    double p99_us = 0.0;
    double longest_us = 0.0;
    double placements_per_s = 0.0; ///< Ends and arrivals included.
};

struct cancel_times
{
    std::size_t cancelled = 0;
    double all_ms = 0.0;             ///< Every call of `withdraw` in a row.
    double next_call_ms = 0.0;       ///< The next call of `decide`.
    std::size_t next_placements = 0; ///< Made by that call.
    double decision_ms = 0.0;        ///< Longest decision after a slice.
    double slice_ms = 0.0; ///< Longest slice of 1,000 with its decision.
};

/// Drives one scheduler at a given size without any model of time: tasks end
/// and arrive as fast as it decides.
class cost_rig
{
public:
    cost_rig(scheduler& tested, cost_size size, std::uint64_t seed);

    /// Fills the empty fleet from the queue; the queue is kept full.
    [[nodiscard]] cost_times fill();
    /// Repeatedly ends `each` random tasks, refills the queue and decides, for
    /// the given time.
    [[nodiscard]] cost_times churn(std::size_t each, double seconds);
    [[nodiscard]] cancel_times cancel();

private:
    void add_workers();
    void add_rules();
    job_request next_job(std::uint32_t tasks);
    void queue_up_to(std::size_t waiting);
    void record(const decisions& decided);
    void end_some(std::size_t count);

    scheduler& scheduler_;
    cost_size size_;
    std::mt19937_64 random_;
    std::vector<task_id> running_;
    std::vector<job_id> queued_jobs_;
    std::size_t waiting_ = 0;
    std::uint64_t next_job_ = 0;
    std::int64_t now_ms_ = 0;
};

} // namespace acaciastile::bench
