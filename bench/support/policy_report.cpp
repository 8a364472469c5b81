#include "support/policy_report.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace acaciastile::bench
{

namespace
{

constexpr int panel_width = 760;
constexpr int panel_height = 240;
constexpr int plot_left = 60;
constexpr int plot_height = 160;
/// Start of the logarithmic axis; shorter times are drawn at this value.
constexpr double least_shown_s = 0.01;
/// Powers of ten that the axis spans.
constexpr double decades = 7.0;
constexpr const char* colours[] = {
    "#888888", "#c9a227", "#4a90c2", "#2e7d32", "#8e44ad"};

void add_waiting(std::string& text, const outcome& made)
{
    for (const auto& [policy, name] : work_class_names)
    {
        const waiting_figures& wait =
            made.waiting[static_cast<std::size_t>(policy)];
        absl::StrAppendFormat(
            &text,
            "    %-8s tasks %6d  p50 %9.2f s  p99 %9.2f s  longest %9.2f s  "
            "never started %d\n",
            std::string(name),
            wait.tasks,
            wait.p50_s,
            wait.p99_s,
            wait.longest_s,
            wait.never_started);
    }
}

void add_figures(std::string& text, const outcome& made)
{
    absl::StrAppendFormat(
        &text,
        "    packing: granted %.3f used %.3f; largest gang %.1f\n"
        "    share error: largest team mean %.4f worst %.4f; all teams %.4f; "
        "windows %d\n"
        "    starts %d ended well %d preemptions %d core-s lost %.0f\n"
        "    lost to bad workers %d; once settled %d of %d (%.2f%%)\n"
        "    over by grant %d, over an allowance %d, in two places %d; by true "
        "use %.3f%% of samples, worst %.2f\n"
        "    decision %.1f us a placement, call p99 %.1f us; digest %016x\n",
        made.granted_part,
        made.used_part,
        made.largest_gang,
        made.largest_team_error,
        made.largest_team_worst,
        made.mean_team_error,
        made.windows,
        made.starts,
        made.ends_well,
        made.preemptions,
        made.core_seconds_lost,
        made.lost_to_bad,
        made.settled_lost,
        made.settled_starts,
        100.0 * static_cast<double>(made.settled_lost) /
            static_cast<double>(std::max<std::size_t>(made.settled_starts, 1)),
        made.over_granted,
        made.over_allowance,
        made.two_places,
        100.0 * made.over_used_part,
        made.over_used_worst,
        made.decision_us_mean,
        made.call_us_p99,
        made.digest);
}

nlohmann::json waiting_json(const outcome& made)
{
    nlohmann::json classes = nlohmann::json::object();
    for (const auto& [policy, name] : work_class_names)
    {
        const waiting_figures& wait =
            made.waiting[static_cast<std::size_t>(policy)];
        classes[std::string(name)] = {
            {"tasks", wait.tasks},
            {"p50_s", wait.p50_s},
            {"p99_s", wait.p99_s},
            {"longest_s", wait.longest_s},
            {"never_started", wait.never_started}};
    }
    return classes;
}

nlohmann::json outcome_json(const outcome& made)
{
    return {
        {"workload", made.workload},
        {"scheduler", made.scheduler},
        {"waiting", waiting_json(made)},
        {"granted_part", made.granted_part},
        {"used_part", made.used_part},
        {"largest_gang", made.largest_gang},
        {"largest_team_share_error", made.largest_team_error},
        {"largest_team_share_error_worst", made.largest_team_worst},
        {"team_share_errors", made.team_errors},
        {"share_windows", made.windows},
        {"starts", made.starts},
        {"ended_well", made.ends_well},
        {"preemptions", made.preemptions},
        {"core_seconds_lost", made.core_seconds_lost},
        {"starts_lost_to_bad_workers", made.lost_to_bad},
        {"settled_starts", made.settled_starts},
        {"settled_starts_lost", made.settled_lost},
        {"over_granted", made.over_granted},
        {"over_allowance", made.over_allowance},
        {"two_places", made.two_places},
        {"over_used_part", made.over_used_part},
        {"over_used_worst", made.over_used_worst},
        {"decision_us_mean", made.decision_us_mean},
        {"call_us_p99", made.call_us_p99},
        {"digest", absl::StrFormat("%016x", made.digest)}};
}

std::vector<std::string> workloads_of(const std::vector<outcome>& outcomes)
{
    std::vector<std::string> names;
    for (const outcome& made : outcomes)
    {
        if (std::find(names.begin(), names.end(), made.workload) == names.end())
        {
            names.push_back(made.workload);
        }
    }
    return names;
}

int bar_height(double seconds)
{
    double shown = std::max(seconds, least_shown_s);
    double part = std::log10(shown / least_shown_s) / decades;
    return static_cast<int>(std::clamp(part, 0.005, 1.0) * plot_height);
}

void add_bar(
    std::string& svg, int left, int base, std::size_t series, double seconds)
{
    int height = bar_height(seconds);
    absl::StrAppendFormat(
        &svg,
        "<rect x='%d' y='%d' width='22' height='%d' fill='%s'/>"
        "<text x='%d' y='%d' font-size='7'>%.3g</text>\n",
        left,
        base - height,
        height,
        colours[series % std::size(colours)],
        left,
        base - height - 2,
        seconds);
}

void add_panel(
    std::string& svg,
    const std::string& workload,
    const std::vector<outcome>& outcomes,
    int top)
{
    int base = top + plot_height + 30;
    absl::StrAppendFormat(
        &svg,
        "<text x='10' y='%d' font-size='13'>%s: waiting p99, seconds, "
        "logarithmic</text>\n",
        top + 14,
        workload);
    std::size_t series = 0;
    for (const outcome& made : outcomes)
    {
        if (made.workload != workload)
        {
            continue;
        }
        for (const auto& [policy, name] : work_class_names)
        {
            auto at = static_cast<std::size_t>(policy);
            int left = plot_left + static_cast<int>(at) * 130 +
                       static_cast<int>(series) * 24;
            add_bar(svg, left, base, series, made.waiting[at].p99_s);
        }
        absl::StrAppendFormat(
            &svg,
            "<text x='%d' y='%d' font-size='10' fill='%s'>%s</text>\n",
            plot_left + static_cast<int>(series) * 170,
            base + 32,
            colours[series % std::size(colours)],
            made.scheduler);
        ++series;
    }
    for (const auto& [policy, name] : work_class_names)
    {
        absl::StrAppendFormat(
            &svg,
            "<text x='%d' y='%d' font-size='11'>%s</text>\n",
            plot_left + static_cast<int>(policy) * 130,
            base + 14,
            std::string(name));
    }
}

} // namespace

std::string to_text(const std::vector<outcome>& outcomes)
{
    std::string text;
    for (const std::string& workload : workloads_of(outcomes))
    {
        absl::StrAppend(&text, workload, "\n");
        for (const outcome& made : outcomes)
        {
            if (made.workload != workload)
            {
                continue;
            }
            absl::StrAppend(&text, "  ", made.scheduler, "\n");
            add_waiting(text, made);
            add_figures(text, made);
        }
    }
    return text;
}

std::string to_json(const std::vector<outcome>& outcomes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const outcome& made : outcomes)
    {
        list.push_back(outcome_json(made));
    }
    return list.dump(2) + "\n";
}

std::string to_svg(const std::vector<outcome>& outcomes)
{
    std::vector<std::string> workloads = workloads_of(outcomes);
    std::string svg = absl::StrFormat(
        "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
        "font-family='sans-serif'>\n<rect width='100%%' height='100%%' "
        "fill='white'/>\n",
        panel_width,
        panel_height * static_cast<int>(workloads.size()));
    int top = 0;
    for (const std::string& workload : workloads)
    {
        add_panel(svg, workload, outcomes, top);
        top += panel_height;
    }
    return svg + "</svg>\n";
}

} // namespace acaciastile::bench
