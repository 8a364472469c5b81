#include "support/capacity_measures.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, out, "build/capacity.json", "file for the JSON");
ABSL_FLAG(std::string, only, "", "one of the measurements, by name");

/// Measures how state, messages and processor time of each role grow, fits a
/// line to each, and reads it off at the size of docs/CAPACITY.md.
int main(int argc, char** argv)
{
    using namespace acaciastile::bench;
    absl::ParseCommandLine(argc, argv);
    struct measurement
    {
        std::string name;
        std::function<std::vector<capacity_series>()> run;
    };
    const std::vector<measurement> all{
        {"log-reader", measure_log_reader},
        {"shard-map", measure_shard_map},
        {"allowances", measure_allowances},
        {"messages", measure_messages},
        {"transport", measure_transport},
        {"shard", measure_shard_state},
        {"instance", measure_instance},
        {"member", measure_member_role}};
    nlohmann::json made = nlohmann::json::array();
    print_heading();
    for (const measurement& one : all)
    {
        const std::string only = absl::GetFlag(FLAGS_only);
        if (!only.empty() && only != one.name)
        {
            continue;
        }
        for (const capacity_series& series : one.run())
        {
            print(series);
            made.push_back(to_json(series));
        }
    }
    std::ofstream(absl::GetFlag(FLAGS_out)) << made.dump(2) << '\n';
    return 0;
}
