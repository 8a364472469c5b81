#include "policy/fair_scheduler.hpp"
#include "support/policy_baseline.hpp"
#include "support/policy_cost_rig.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, out, "out", "directory for the JSON");
ABSL_FLAG(double, seconds, 2.0, "time of each measurement");
ABSL_FLAG(bool, slopes, true, "measure the slopes too");
ABSL_FLAG(bool, baselines, true, "measure the baselines too");

namespace
{

using namespace acaciastile;
using namespace acaciastile::bench;

constexpr std::uint64_t seed = 7;

struct compared_scheduler
{
    std::string name;
    std::function<std::unique_ptr<scheduler>()> make;
};

nlohmann::json as_json(const cost_times& times)
{
    return {
        {"calls", times.calls},
        {"placements", times.placements},
        {"p50_us", times.p50_us},
        {"p99_us", times.p99_us},
        {"longest_us", times.longest_us},
        {"placements_per_s", times.placements_per_s}};
}

nlohmann::json print_times(const std::string& what, const cost_times& times)
{
    std::cout << absl::StrFormat(
                     "    %-12s calls %7d placements %7d  p50 %9.1f us  p99 "
                     "%9.1f us  longest %9.1f us  %9.0f placements/s\n",
                     what,
                     times.calls,
                     times.placements,
                     times.p50_us,
                     times.p99_us,
                     times.longest_us,
                     times.placements_per_s)
              << std::flush;
    return as_json(times);
}

nlohmann::json measure(const compared_scheduler& one, cost_size size)
{
    std::cout << absl::StrFormat(
                     "  %s: %d workers, %d teams, %d queued\n",
                     one.name,
                     size.workers,
                     size.teams,
                     size.queued)
              << std::flush;
    std::unique_ptr<scheduler> tested = one.make();
    cost_rig rig(*tested, size, seed);
    nlohmann::json report{
        {"scheduler", one.name},
        {"workers", size.workers},
        {"teams", size.teams},
        {"queued", size.queued}};
    double seconds = absl::GetFlag(FLAGS_seconds);
    report["fill"] = print_times("fill", rig.fill());
    report["one"] = print_times("one end", rig.churn(1, seconds));
    report["hundred"] = print_times("100 ends", rig.churn(100, seconds));
    cancel_times cancelled = rig.cancel();
    std::cout << absl::StrFormat(
        "    %d cancellations: %.2f ms in a row, next decision %.3f ms with %d "
        "placements; "
        "longest decision between slices of 1,000 %.3f ms, "
        "longest slice with its decision %.3f ms\n",
        cancelled.cancelled,
        cancelled.all_ms,
        cancelled.next_call_ms,
        cancelled.next_placements,
        cancelled.decision_ms,
        cancelled.slice_ms);
    report["cancel"] = {
        {"cancelled", cancelled.cancelled},
        {"all_ms", cancelled.all_ms},
        {"next_call_ms", cancelled.next_call_ms},
        {"next_placements", cancelled.next_placements},
        {"decision_ms", cancelled.decision_ms},
        {"slice_ms", cancelled.slice_ms}};
    return report;
}

std::vector<cost_size> slope_sizes()
{
    return {
        {128, 650, 100'000},
        {2'300, 650, 100'000},
        {11'500, 650, 100'000},
        {23'000, 10, 100'000},
        {23'000, 100, 100'000},
        {23'000, 650, 1'000},
        {23'000, 650, 10'000}};
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    compared_scheduler current{
        "current", [] { return fair_scheduler::create({}); }};
    std::vector<compared_scheduler> baselines{
        {"fifo first fit",
         []
         { return baseline_scheduler::create(baseline_strategy::first_fit); }},
        {"least loaded", [] {
             return baseline_scheduler::create(baseline_strategy::least_loaded);
         }}};
    nlohmann::json report = nlohmann::json::array();
    report.push_back(measure(current, {}));
    if (absl::GetFlag(FLAGS_baselines))
    {
        for (const compared_scheduler& baseline : baselines)
        {
            report.push_back(measure(baseline, {}));
        }
    }
    if (absl::GetFlag(FLAGS_slopes))
    {
        for (const cost_size& size : slope_sizes())
        {
            report.push_back(measure(current, size));
        }
    }
    std::ofstream file(absl::GetFlag(FLAGS_out) + "/policy_cost.json");
    file << report.dump(2) << "\n";
    return 0;
}
