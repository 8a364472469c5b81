#pragma once

#include "domain/work_class.hpp"
#include "support/policy_workload.hpp"

#include <cstdint>
#include <vector>

namespace acaciastile::bench
{

/// Distribution of sizes, run times and arrivals of one kind of job.
struct job_shape
{
    work_class policy;
    const char* name;
    double part;         ///< Fraction of the load; zero: use `per_minute`.
    double per_minute;   ///< Arrivals, where the part is zero.
    double median_run_s; ///< Of a log-normal run time.
    double sigma;        ///< Of the logarithm of the run time.
    double longest_s;
    std::int64_t least_milli;
    std::int64_t most_milli;
    std::int64_t mib_per_milli_x1000; ///< Memory to processors.
    std::uint32_t least_tasks;
    std::uint32_t most_tasks;
    std::int64_t accelerators;
};

/// The job mix of a site.
[[nodiscard]] std::vector<job_shape> shapes_of(workload_site site);

} // namespace acaciastile::bench
