#include "cli/commands/process_commands.hpp"
#include "cli/dev/cell_setup.hpp"
#include "cli/dev/dev_cell.hpp"
#include "cli/dev/dev_summary.hpp"
#include "cli/dev/mix_runner.hpp"
#include "cli/output.hpp"
#include "cli/sample_site.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdint>
#include <cstdio>

ABSL_FLAG(std::uint32_t, instances, 3, "instances in this process");
ABSL_FLAG(std::uint64_t, seed, 1, "of everything that is drawn");
ABSL_FLAG(std::uint32_t, jobs, 300, "jobs and requests of the mix");
ABSL_FLAG(absl::Duration, bound, absl::Seconds(120), "longest time of the mix");
ABSL_FLAG(bool, events, false, "write all events, not only warnings");

namespace acaciastile::commands
{

namespace
{

constexpr std::uint32_t most_instances = 32;
constexpr std::uint32_t most_jobs = 20'000;
constexpr milliseconds shutdown_bound{30'000};
constexpr const char* sample_address = "127.0.0.1:7070";

result<std::unique_ptr<dev_cell>> start_cell(const inventory& workers)
{
    dev_settings settings;
    settings.instances = absl::GetFlag(FLAGS_instances);
    settings.seed = absl::GetFlag(FLAGS_seed);
    settings.workers = workers;
    settings.log.min_level =
        absl::GetFlag(FLAGS_events) ? event_level::info : event_level::fault;
    return dev_cell::create(settings);
}

void print_summary(const dev_summary& summary)
{
    if (output_is_json())
    {
        print_object(summary.content);
        return;
    }
    std::fputs(write_summary(summary).c_str(), stdout);
}

exit_status run(dev_cell& cell, const inventory& workers)
{
    const rules sample = make_sample_rules(sample_site::both);
    mix_target target;
    target.addresses = cell.addresses();
    target.operator_key = cell.operator_key();
    target.bound =
        milliseconds(absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_bound)));
    auto ready = set_cell_up(target, workers, sample);
    if (!ready)
    {
        return report(ready.error());
    }
    const auto items =
        make_sample_mix(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_jobs));
    const auto results = run_mix(*ready, items, cell.clock());
    const dev_summary summary =
        summarize(results, cell.journal(), sample, cell.clock().now());
    print_summary(summary);
    const bool finished = cell.shut_down(shutdown_bound);
    if (!finished)
    {
        std::fputs("the instances did not shut down in time\n", stderr);
    }
    return summary.adds_up && finished ? exit_status::done
                                       : exit_status::wrong_sums;
}

} // namespace

exit_status dev(const command_arguments& /*arguments*/)
{
    const std::uint32_t instances = absl::GetFlag(FLAGS_instances);
    const std::uint32_t jobs = absl::GetFlag(FLAGS_jobs);
    if (instances == 0 || instances > most_instances || jobs > most_jobs)
    {
        return report_usage("--instances is 1 to 32, --jobs up to 20000");
    }
    const inventory workers =
        make_sample_inventory(sample_site::both, sample_address);
    auto cell = start_cell(workers);
    if (!cell)
    {
        return report(cell.error());
    }
    return run(**cell, workers);
}

} // namespace acaciastile::commands
