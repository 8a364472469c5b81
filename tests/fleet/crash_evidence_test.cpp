#include "support/fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

std::size_t crashes_under(const fleet_world& world, const std::string& job)
{
    const auto& all = world.workers.events();
    return static_cast<std::size_t>(std::count_if(
        all.begin(),
        all.end(),
        [&](const standin::worker_event& each)
        {
            return each.task.step.job == job_id(job) &&
                   each.what == standin::worker_event::kind::ended &&
                   each.how == fleet::run_end::lapsed;
        }));
}

/// Steps by 1 ms until the worker pool has seen another start of the job.
bool wait_for_start(fleet_world& world, const std::string& job, std::size_t n)
{
    for (int ms = 0; ms < 60'000; ++ms)
    {
        if (world.starts_of(job).size() >= n)
        {
            return true;
        }
        world.run(1ms);
    }
    return false;
}

} // namespace

// Guards against a job that is given up for workers that were cut off, ran on
// and restarted under their ids after its runs had ended.
TEST_CASE(
    "a restart after a silence is not blamed on runs that had ended", "[fleet]")
{
    const bool change_ids = GENERATE(false, true);
    fleet_world world(1, 3);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{300ms, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    for (std::size_t n = 1; n <= 2; ++n)
    {
        REQUIRE(wait_for_start(world, "a", n));
        world.run(10ms);
        const worker_id id = world.starts_of("a").back().worker;
        world.workers.faults_of(id).silent = true;
        world.run(1s);
        if (change_ids)
        {
            world.store.put("registry", id.str(), "");
            world.workers.crash(id);
            world.add_worker(id.str() + "~" + std::to_string(n));
        }
        else
        {
            world.restart_worker(id.str());
        }
    }
    world.run(10s);
    CAPTURE(change_ids, world.events.count(event_number::crash_counted));
    CHECK(crashes_under(world, "a") == 0);
    CHECK(world.view("a").state == job_state::completed);
}

// A crash 900 ms after the start is not one soon after it, whether the worker
// comes back under its id or under another.
TEST_CASE("a crash long after the start is not a prompt one", "[fleet]")
{
    const bool change_ids = GENERATE(false, true);
    fleet_world world(1, 6);
    world.crashes_change_ids = change_ids;
    world.crash_recovery = 1'100ms;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{5s, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    REQUIRE(wait_for_start(world, "a", 1));
    world.run(900ms);
    world.workers.crash(world.starts_of("a").back().worker);
    REQUIRE(wait_for_start(world, "a", 2));
    world.run(30ms);
    world.workers.crash(world.starts_of("a").back().worker);
    world.run(30s);
    CAPTURE(change_ids);
    CHECK(world.view("a").state == job_state::completed);
}
