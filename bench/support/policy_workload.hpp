#pragma once

#include "domain/rules.hpp"
#include "domain/worker_entry.hpp"
#include "policy/job_request.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciastile::bench
{

/// A job with its declared and its true size and run times.
struct planned_job
{
    job_request request;
    work_class policy = work_class::batch;
    resources true_each;
    std::vector<milliseconds> true_run; ///< Of each task.
    milliseconds cancel_after{0};       ///< From arrival; zero: never.
    bool fails_everywhere = false;
};

/// Input of one replay.
struct workload
{
    std::string name;
    std::vector<worker_entry> workers;
    rules in_force;
    std::vector<planned_job> jobs; ///< Sorted by arrival.
    std::vector<std::uint32_t> bad_workers;
    milliseconds bad_from{0};
    milliseconds horizon{0};
    team_name largest_team;
};

/// Which fleet and mix a workload is modelled on.
enum class workload_site
{
    almaty,     ///< 50 workers of 32 cores and 64 GB; waiting matters most.
    luz_andina, ///< 50 workers of 16 cores and 64 GB; shares and packing.
    letter      ///< 1% of the specified fleet of 23,000, with accelerators.
};

struct workload_settings
{
    workload_site site = workload_site::almaty;
    std::uint64_t seed = 1;
    double load = 0.95; ///< Of the fleet's processors, by true need.
    milliseconds horizon{2 * 3'600'000};
    double size_error = 1.0; ///< Declared sizes are off by up to this factor.
    double run_error =
        10.0;              ///< Declared run times are off by up to this factor.
    double bad_part = 0.0; ///< Part of the workers that fail everything.
    double waves = 0.02;   ///< Part of the jobs cancelled in waves.
};

[[nodiscard]] workload make_workload(const workload_settings& settings);

[[nodiscard]] std::string to_string(workload_site site);

} // namespace acaciastile::bench
