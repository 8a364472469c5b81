#include "cli/client_flags.hpp"
#include "cli/commands/process_commands.hpp"
#include "cli/load/load_report.hpp"
#include "cli/load/load_runner.hpp"
#include "cli/load/svg_plot.hpp"
#include "cli/output.hpp"
#include "cli/random_bytes.hpp"
#include "cli/text_file.hpp"
#include "entry/socket_address.hpp"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <cstdio>

ABSL_FLAG(std::string, report, "", "file for the report in JSON");
ABSL_FLAG(std::string, plot, "", "file for the plot in SVG");

namespace acaciastile::commands
{

using nlohmann::json;

namespace
{

constexpr std::size_t run_name_bytes = 4;
constexpr int json_indent = 1;

/// Every address of `--address`, loopback only: load never goes to others'
/// machines.
result<std::vector<client_settings>> targets_from_flags()
{
    auto common = client_settings_from_flags();
    if (!common)
    {
        return tl::unexpected(common.error());
    }
    std::vector<client_settings> made;
    const std::vector<std::string> addresses =
        absl::StrSplit(common->address, ',');
    for (const std::string& each : addresses)
    {
        const auto address = socket_address::parse(each);
        if (!address || !address->is_loopback())
        {
            return refuse(
                refusal_code::invalid_value,
                "load goes to loopback addresses only, found '" + each + "'");
        }
        made.push_back(*common);
        made.back().address = each;
    }
    return made;
}

/// Runs at the scenario's rate, or at rising rates until the bound breaks.
std::vector<load_run> run_all(
    const load_scenario& scenario, const std::vector<client_settings>& targets)
{
    std::vector<load_run> runs;
    auto run_at = [&](double rate)
    {
        std::fprintf(stderr, "running at %.1f calls/s\n", rate);
        runs.push_back(
            run_load(scenario, rate, targets, draw_random_hex(run_name_bytes)));
        return holds_bound(report_run(scenario, runs.back()));
    };
    if (!scenario.search)
    {
        static_cast<void>(run_at(scenario.rate));
        return runs;
    }
    const load_search& search = *scenario.search;
    for (double rate = search.from; rate <= search.to; rate *= search.factor)
    {
        if (!run_at(rate))
        {
            break;
        }
    }
    return runs;
}

plot_series series_of(
    const json& rows,
    const char* name,
    const char* colour,
    const char* x,
    const json::json_pointer& y)
{
    plot_series made{name, colour, {}};
    for (const json& row : rows)
    {
        made.points.emplace_back(
            row.at(x).get<double>(), row.at(y).get<double>());
    }
    return made;
}

/// Latency over the rate of a search, else over the seconds of the run.
plot make_plot(const json& report)
{
    const json& runs = report.at("runs");
    const bool search = runs.size() > 1;
    const json& rows = search ? runs : runs.at(0).at("by_second");
    const std::string inside = search ? "/latency" : "";
    const char* x = search ? "rate" : "second";
    auto line = [&](const char* name, const char* colour)
    {
        const std::string path = inside + "/" + name;
        return series_of(rows, name, colour, x, json::json_pointer(path));
    };
    plot made;
    made.title = "Latency from the intended start";
    made.x_label = search ? "calls a second" : "second of the run";
    made.y_label = "ms";
    made.series = {line("p50_ms", "#1f77b4"), line("p99_ms", "#d62728")};
    return made;
}

exit_status write_files(const json& report)
{
    const std::string file = absl::GetFlag(FLAGS_report);
    if (!file.empty())
    {
        const auto written =
            write_text_file(file, report.dump(json_indent) + "\n");
        if (!written)
        {
            return acaciastile::report(written.error());
        }
    }
    const std::string plot_file = absl::GetFlag(FLAGS_plot);
    if (!plot_file.empty())
    {
        const auto written =
            write_text_file(plot_file, draw_svg(make_plot(report)));
        if (!written)
        {
            return acaciastile::report(written.error());
        }
    }
    return exit_status::done;
}

} // namespace

exit_status load(const command_arguments& arguments)
{
    if (arguments.size() != 1)
    {
        return report_usage("load needs one scenario file");
    }
    auto text = read_text_file(arguments.front());
    auto scenario = text ? parse_load_scenario(*text)
                         : result<load_scenario>(tl::unexpected(text.error()));
    if (!scenario)
    {
        static_cast<void>(report(scenario.error()));
        return exit_status::wrong_input;
    }
    auto targets = targets_from_flags();
    if (!targets)
    {
        return report_usage(targets.error().message);
    }
    const json whole = report_all(*scenario, run_all(*scenario, *targets));
    if (output_is_json())
    {
        print_object(whole);
    }
    else
    {
        std::fputs(write_load_report(whole).c_str(), stdout);
    }
    return write_files(whole);
}

} // namespace acaciastile::commands
