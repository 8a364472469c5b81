#pragma once

#include "cli/api_client.hpp"
#include "cli/load/load_scenario.hpp"

#include <map>
#include <string>
#include <vector>

namespace acaciastile
{

/// One call that is to be sent.
struct load_arrival
{
    std::chrono::microseconds at{0}; ///< From the start of the run.
    std::size_t call = 0;            ///< Index into the scenario's calls.
};

/// What became of one call.
struct load_sample
{
    load_arrival arrival;
    /// From the intended start to the whole answer.
    std::chrono::microseconds latency{0};
    int status = 0;   ///< HTTP status; zero where no answer came.
    std::string code; ///< Of a refusal; empty where it went well.
    verdict effect = verdict::ran;
};

struct load_run
{
    double rate = 0;
    std::vector<load_sample> samples;
};

/// When which call is sent: a Poisson process from the scenario's seed. Never
/// more than `most_load_calls`.
[[nodiscard]] std::vector<load_arrival>
plan_arrivals(const load_scenario& scenario, double rate);

/// Sends the calls at their times, whatever the answers; the addresses take
/// turns. `run_name` makes the ids of this run unique.
[[nodiscard]] load_run run_load(
    const load_scenario& scenario,
    double rate,
    const std::vector<client_settings>& targets,
    const std::string& run_name);

} // namespace acaciastile
