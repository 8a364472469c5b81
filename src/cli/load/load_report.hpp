#pragma once

#include "cli/load/load_runner.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciastile
{

/// Percentiles of one set of latencies, nearest rank.
struct latency_summary
{
    std::size_t count = 0;
    double p50_ms = 0;
    double p90_ms = 0;
    double p99_ms = 0;
    double max_ms = 0;
};

[[nodiscard]] latency_summary
summarize_latency(std::vector<std::chrono::microseconds> latencies);

/// One run in numbers: what was sent, answered and refused by code, what had
/// no answer, and latency over all and by call.
[[nodiscard]] nlohmann::json
report_run(const load_scenario& scenario, const load_run& run);

/// True where the p99 over all calls is within the scenario's bound and every
/// call had an answer.
[[nodiscard]] bool holds_bound(const nlohmann::json& run_report);

/// The whole report: every run and the highest rate that held the bound.
[[nodiscard]] nlohmann::json
report_all(const load_scenario& scenario, const std::vector<load_run>& runs);

/// The report for people.
[[nodiscard]] std::string write_load_report(const nlohmann::json& report);

} // namespace acaciastile
