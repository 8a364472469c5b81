#include "policy/fair_scheduler.hpp"
#include "support/policy_baseline.hpp"
#include "support/policy_replay.hpp"
#include "support/policy_report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, out, "out", "directory for the JSON and the plot");
ABSL_FLAG(int, minutes, 120, "simulated minutes of each workload");
ABSL_FLAG(int, seed, 1, "seed of the workloads");
ABSL_FLAG(int, jobs, 3, "replays run at once");
ABSL_FLAG(std::string, only, "", "substring of the workloads to replay");

namespace
{

using namespace acaciastile;
using namespace acaciastile::bench;

struct compared_scheduler
{
    std::string name;
    std::function<std::unique_ptr<scheduler>()> make;
};

/// The settings in which start commands carry what was granted.
fair_scheduler_settings product_settings()
{
    fair_scheduler_settings settings;
    settings.oversubscribe = true;
    return settings;
}

/// The first version: team shares and work classes only.
fair_scheduler_settings first_settings()
{
    fair_scheduler_settings settings;
    settings.quarantine = false;
    settings.learn_sizes = false;
    settings.reserve = false;
    settings.preempt = false;
    settings.headroom_worker_stride = 0;
    settings.run_time_penalty_factor = 0;
    return settings;
}

/// Without headroom, preemption and preference for short jobs.
fair_scheduler_settings previous_settings()
{
    fair_scheduler_settings settings = product_settings();
    settings.preempt = false;
    settings.headroom_worker_stride = 0;
    settings.run_time_penalty_factor = 0;
    settings.reservations = 4;
    return settings;
}

std::vector<compared_scheduler> compared_schedulers()
{
    return {
        {"fifo first fit",
         []
         { return baseline_scheduler::create(baseline_strategy::first_fit); }},
        {"least loaded",
         [] {
             return baseline_scheduler::create(baseline_strategy::least_loaded);
         }},
        {"first version",
         [] { return fair_scheduler::create(first_settings()); }},
        {"previous version",
         [] { return fair_scheduler::create(previous_settings()); }},
        {"current", [] { return fair_scheduler::create(product_settings()); }}};
}

struct variant
{
    std::string name;
    double size_error;
    double bad_part;
    double load;
};

std::vector<workload> workloads()
{
    const std::vector<variant> variants{
        {"honest", 1.0, 0.0, 0.95},
        {"honest, bad workers", 1.0, 0.05, 0.95},
        {"sizes off 10x, bad workers", 10.0, 0.05, 0.95},
        // Every team has a backlog for most of the time: for the shares.
        {"honest, load 150%", 1.0, 0.0, 1.5}};
    std::vector<workload> made;
    for (workload_site site :
         {workload_site::almaty,
          workload_site::luz_andina,
          workload_site::letter})
    {
        for (const variant& chosen : variants)
        {
            workload_settings settings;
            settings.site = site;
            settings.seed =
                static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
            settings.horizon =
                milliseconds(absl::GetFlag(FLAGS_minutes) * 60'000LL);
            settings.size_error = chosen.size_error;
            settings.bad_part = chosen.bad_part;
            settings.load = chosen.load;
            workload work = make_workload(settings);
            work.name += " (" + chosen.name + ")";
            if (work.name.find(absl::GetFlag(FLAGS_only)) != std::string::npos)
            {
                made.push_back(std::move(work));
            }
        }
    }
    return made;
}

void write(const std::string& name, const std::string& content)
{
    std::ofstream file(absl::GetFlag(FLAGS_out) + "/" + name);
    file << content;
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<workload> works = workloads();
    std::vector<compared_scheduler> compared = compared_schedulers();
    std::vector<outcome> outcomes(works.size() * compared.size());
    std::atomic<std::size_t> next{0};
    auto replay_next = [&]
    {
        for (std::size_t at = next++; at < outcomes.size(); at = next++)
        {
            const compared_scheduler& one = compared[at % compared.size()];
            std::unique_ptr<scheduler> tested = one.make();
            outcomes[at] = replay(works[at / compared.size()], *tested);
            outcomes[at].scheduler = one.name;
        }
    };
    {
        std::vector<std::jthread> threads;
        for (int at = 0; at < absl::GetFlag(FLAGS_jobs); ++at)
        {
            threads.emplace_back(replay_next);
        }
    }
    std::cout << to_text(outcomes);
    write("policy_outcomes.json", to_json(outcomes));
    write("policy_outcomes.svg", to_svg(outcomes));
    return 0;
}
