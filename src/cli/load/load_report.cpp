#include "cli/load/load_report.hpp"

#include "cli/output.hpp"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <cmath>
#include <map>

namespace acaciastile
{

using nlohmann::json;
using std::chrono::microseconds;

namespace
{

constexpr double microseconds_in_ms = 1'000.0;
constexpr double median = 0.5;
constexpr double ninety = 0.9;
constexpr double tail = 0.99;

double at_rank(const std::vector<microseconds>& sorted, double probability)
{
    const auto rank = static_cast<std::size_t>(
        std::ceil(probability * double(sorted.size())));
    const std::size_t index = std::max<std::size_t>(rank, 1) - 1;
    return double(sorted[index].count()) / microseconds_in_ms;
}

json to_json(const latency_summary& value)
{
    return {
        {"count", value.count},
        {"p50_ms", value.p50_ms},
        {"p90_ms", value.p90_ms},
        {"p99_ms", value.p99_ms},
        {"max_ms", value.max_ms}};
}

json count_answers(const load_run& run)
{
    std::map<std::string, std::size_t> codes;
    std::size_t well = 0;
    std::size_t refused = 0;
    std::size_t no_answer = 0;
    std::size_t not_sent = 0;
    for (const load_sample& each : run.samples)
    {
        if (each.status == 0)
        {
            const bool sent = each.effect != verdict::not_run;
            no_answer += sent ? 1 : 0;
            not_sent += sent ? 0 : 1;
        }
        else if (each.code.empty())
        {
            ++well;
        }
        else
        {
            ++refused;
            ++codes[each.code];
        }
    }
    return {
        {"sent", run.samples.size()},
        {"well", well},
        {"refused", refused},
        {"no_answer", no_answer},
        {"not_connected", not_sent},
        {"codes", codes}};
}

json latency_by_call(const load_scenario& scenario, const load_run& run)
{
    std::map<std::string, std::vector<microseconds>> by_name;
    for (const load_sample& each : run.samples)
    {
        by_name[scenario.calls[each.arrival.call].name].push_back(each.latency);
    }
    json made = json::object();
    for (auto& [name, latencies] : by_name)
    {
        made[name] = to_json(summarize_latency(std::move(latencies)));
    }
    return made;
}

/// One entry for each second of the run.
json latency_by_second(const load_run& run)
{
    std::map<std::int64_t, std::vector<microseconds>> by_second;
    for (const load_sample& each : run.samples)
    {
        const auto second =
            std::chrono::duration_cast<std::chrono::seconds>(each.arrival.at);
        by_second[second.count()].push_back(each.latency);
    }
    json made = json::array();
    for (auto& [second, latencies] : by_second)
    {
        json entry = to_json(summarize_latency(std::move(latencies)));
        entry["second"] = second;
        made.push_back(std::move(entry));
    }
    return made;
}

} // namespace

latency_summary summarize_latency(std::vector<microseconds> latencies)
{
    latency_summary made;
    made.count = latencies.size();
    if (latencies.empty())
    {
        return made;
    }
    std::sort(latencies.begin(), latencies.end());
    made.p50_ms = at_rank(latencies, median);
    made.p90_ms = at_rank(latencies, ninety);
    made.p99_ms = at_rank(latencies, tail);
    made.max_ms = at_rank(latencies, 1.0);
    return made;
}

json report_run(const load_scenario& scenario, const load_run& run)
{
    std::vector<microseconds> all;
    for (const load_sample& each : run.samples)
    {
        all.push_back(each.latency);
    }
    const json answers = count_answers(run);
    const latency_summary latency = summarize_latency(std::move(all));
    const std::size_t without = answers.at("no_answer").get<std::size_t>() +
                                answers.at("not_connected").get<std::size_t>();
    const bool holds =
        without == 0 && latency.p99_ms <= double(scenario.bound_p99.count());
    return {
        {"rate", run.rate},
        {"answers", answers},
        {"latency", to_json(latency)},
        {"by_call", latency_by_call(scenario, run)},
        {"by_second", latency_by_second(run)},
        {"holds_bound", holds}};
}

bool holds_bound(const json& run_report)
{
    return run_report.at("holds_bound").get<bool>();
}

json report_all(
    const load_scenario& scenario, const std::vector<load_run>& runs)
{
    json list = json::array();
    json highest = nullptr;
    json breaks = nullptr;
    for (const load_run& each : runs)
    {
        json one = report_run(scenario, each);
        (holds_bound(one) ? highest : breaks) = each.rate;
        list.push_back(std::move(one));
    }
    return {
        {"seed", scenario.seed},
        {"duration_ms", scenario.duration.count()},
        {"bound_p99_ms", scenario.bound_p99.count()},
        {"runs", std::move(list)},
        {"highest_rate_within_bound", highest},
        {"rate_that_breaks_it", breaks}};
}

std::string write_load_report(const json& report)
{
    std::string text = format_table(
        report.at("runs"),
        {{"RATE/S", "rate"},
         {"SENT", "answers.sent"},
         {"WELL", "answers.well"},
         {"REFUSED", "answers.refused"},
         {"NO ANSWER", "answers.no_answer"},
         {"NOT CONNECTED", "answers.not_connected"},
         {"P50 MS", "latency.p50_ms"},
         {"P90 MS", "latency.p90_ms"},
         {"P99 MS", "latency.p99_ms"},
         {"MAX MS", "latency.max_ms"},
         {"HOLDS", "holds_bound"}});
    text += absl::StrFormat(
        "p99 bound %d ms: highest rate within %s, broken at %s\n",
        report.at("bound_p99_ms").get<std::int64_t>(),
        report.at("highest_rate_within_bound").dump(),
        report.at("rate_that_breaks_it").dump());
    return text;
}

} // namespace acaciastile
