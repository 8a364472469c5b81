#include "fleet/absent_worker_table.hpp"
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

/// Steps by 1 ms until one more order of a start has been sent.
bool wait_for_order(fleet_world& world, std::size_t n)
{
    for (int ms = 0; ms < 60'000; ++ms)
    {
        if (world.events.count(event_number::run_started) >= n)
        {
            return true;
        }
        world.run(1ms);
    }
    return false;
}

/// Ends the owner's process without notice and starts it again.
void kill_owner(fleet_world& world)
{
    fleet_world::vm* owner = world.owner_vm();
    REQUIRE(owner != nullptr);
    owner->kill();
    world.run(300ms);
    owner->start();
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

// Guards against orders that got no answer, were recorded with their absent
// worker and are counted as crashes by the owners that follow.
TEST_CASE(
    "an order without an answer is no crash for the next owner", "[fleet]")
{
    fleet_world world(2, 1);
    world.workers.kept_connections = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{4s, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    for (std::size_t n = 1; n <= 3; ++n)
    {
        const std::size_t before =
            world.events.count(event_number::run_started);
        REQUIRE(wait_for_order(world, n == 1 ? 1 : before + 1));
        // It crashes while the order is on its way.
        world.workers.crash(worker_id("w0"));
        world.run(700ms);
        kill_owner(world);
    }
    CHECK(crashes_under(world, "a") == 0);
    REQUIRE(wait_for_start(world, "a", 1));
    CHECK(world.events.count(event_number::crash_counted) == 0);
    world.run(2s);
    world.workers.crash(world.starts_of("a").back().worker); // The only one.
    world.run(30s);
    CHECK(crashes_under(world, "a") == 1);
    CHECK(world.view("a").state == job_state::completed);
}

// Guards against a task that crashes its workers before they answer, and that
// is started for ever as they come back only after their leases.
TEST_CASE(
    "a task that crashes its workers before they answer is given up", "[fleet]")
{
    const milliseconds recovery{GENERATE(1'100, 3'000, 9'000)};
    const bool change_ids = GENERATE(false, true);
    fleet_world world(1, 1);
    world.crashes_change_ids = change_ids;
    world.crash_recovery = recovery;
    world.workers.kept_connections = true;
    world.run(5s);
    world.submit("a", {tasks(1)});
    std::size_t orders = 0;
    for (; orders < 12; ++orders)
    {
        const std::size_t before =
            world.events.count(event_number::run_started);
        if (orders == 0 ? !wait_for_order(world, 1)
                        : !wait_for_order(world, before + 1))
        {
            break;
        }
        for (int n = 0; n < 60; ++n)
        {
            const std::string id = n == 0 ? "w0" : "w0~" + std::to_string(n);
            if (world.store.newest("registry", id).empty())
            {
                continue;
            }
            world.workers.crash(worker_id(id));
        }
    }
    CAPTURE(recovery.count(), change_ids, orders);
    CHECK(world.view("a").state == job_state::failed);
    CHECK(orders <= 5);
}

// Guards against departures that the next owner takes for crashes: the worker
// had announced that it drains.
TEST_CASE(
    "the departure of a draining worker is no crash for the next owner",
    "[fleet]")
{
    const bool kills_owner = GENERATE(false, true);
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    REQUIRE(wait_for_start(world, "a", 1));
    world.run(1s);
    world.register_worker("w0", "draining");
    world.run(3s);
    world.store.put("registry", "w0", "");
    world.run(300ms);
    world.workers.crash(worker_id("w0")); // It leaves.
    world.run(500ms);
    if (kills_owner)
    {
        kill_owner(world);
    }
    world.run(1s);
    world.add_worker("w0~1");
    world.run(6s);
    CAPTURE(kills_owner);
    CHECK(world.events.count(event_number::worker_replaced) == 1);
    CHECK(world.events.count(event_number::crash_counted) == 0);
}

// Guards against a departure that counts as a crash as its worker had been
// removed, but still answered when the owner changed.
TEST_CASE(
    "a draining worker that a new owner finds removed departs without a crash",
    "[fleet]")
{
    const milliseconds leaves_after{GENERATE(0, 200, 2'000, 4'000)};
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    REQUIRE(wait_for_start(world, "a", 1));
    world.run(1s);
    world.register_worker("w0", "draining");
    world.run(3s);
    world.store.put("registry", "w0", "");
    world.run(1s);
    kill_owner(world);
    world.run(leaves_after);
    world.workers.crash(worker_id("w0"));
    world.run(1s);
    world.add_worker("w0~1");
    world.run(10s);
    CAPTURE(leaves_after.count());
    CHECK(world.events.count(event_number::worker_replaced) == 1);
    CHECK(world.events.count(event_number::crash_counted) == 0);
}

// A worker that had not announced to drain has crashed, also for the next
// owner. The record of an earlier build does not tell whether it had.
TEST_CASE(
    "a record of absence tells the next owner whether its worker may have left",
    "[fleet]")
{
    const bool is_of_earlier_build = GENERATE(false, true);
    const bool change_ids = GENERATE(false, true);
    fleet_world world(2, 1);
    world.crashes_change_ids = change_ids;
    world.crash_recovery = 700ms;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(5s);
    world.submit("a", {tasks(1)});
    REQUIRE(wait_for_start(world, "a", 1));
    world.run(1s);
    const std::string key = fleet::absent_worker_table::key_of(worker_id("w0"));
    world.workers.crash(worker_id("w0"));
    world.run(500ms);
    const auto record = fleet::decode_absence_record(
        world.store.newest(fleet::topics::progress, key));
    REQUIRE(record);
    CHECK(record->announced_drain == false);
    CHECK(record->blamed.size() == 1);
    if (change_ids)
    {
        world.store.put("registry", "w0", "");
    }
    fleet_world::vm* owner = world.owner_vm();
    REQUIRE(owner != nullptr);
    owner->kill();
    if (is_of_earlier_build)
    {
        fleet::absence_record earlier = *record;
        earlier.announced_drain.reset();
        world.store.put(fleet::topics::progress, key, encode(earlier));
    }
    world.run(300ms);
    owner->start();
    world.run(10s);
    CAPTURE(is_of_earlier_build, change_ids);
    CHECK(
        world.events.count(event_number::crash_counted) ==
        (is_of_earlier_build ? 0 : 1));
}

// A lasting task that has gone on for long is not blamed for a crash, also if
// its owner has changed shortly before.
TEST_CASE("a lasting run is no younger for a new owner", "[fleet][known-red]")
{
    const bool kills_owner = GENERATE(false, true);
    fleet_world world(2, 3);
    fleet::step_spec lasting = tasks(1);
    lasting.long_running = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{100'000s, false};
    };
    world.submit("a", {lasting});
    REQUIRE(wait_for_start(world, "a", 1));
    world.run(60s);
    if (kills_owner)
    {
        kill_owner(world);
        world.run(10s);
    }
    world.workers.crash(world.starts_of("a").back().worker);
    world.run(10s);
    CAPTURE(kills_owner);
    CHECK(world.events.count(event_number::crash_counted) == 0);
}

// A job that has just ended is known for as long as promised, also if the wall
// clock of the owner's machine jumps.
TEST_CASE("a wall clock that jumps ends no knowledge of a job", "[fleet]")
{
    const milliseconds jump{GENERATE(10'000, 130'000)};
    fleet_world world(1, 2);
    world.submit("a", {tasks(1)});
    REQUIRE(world.run_until("a", job_state::completed, 20s));
    world.run(10s);
    world.clock.step_wall(jump);
    world.run(10s);
    CAPTURE(jump.count());
    CHECK(world.view("a").state == job_state::completed);
}
