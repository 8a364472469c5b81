#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

// Guards against a task that runs twice: an owner that was replaced while its
// process stood still extended, when it went on, the lease of a worker that its
// successor could not reach, beyond the end that the successor waited for.
TEST_CASE(
    "an owner that was paused extends no lease before it knows that it is one",
    "[fleet][known-red]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("short") ? 1s : 20s, false};
    };
    // Too large to share a worker.
    world.submit("a", {tasks(1, 9)});
    world.submit("b", {tasks(1, 9)});
    world.run(500ms);
    world.submit("short", {tasks(1)});
    REQUIRE(world.run_until("short", job_state::running, 1s));
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    const worker_id worker = world.starts_of("short").front().worker;
    successor.orders.cut.insert(worker);
    world.add_worker("w2");
    // Between the end of a run and the status poll that acknowledges it, so
    // that no poll is in flight to that worker.
    while (world.workers.running() == 3)
    {
        world.run(1ms);
    }
    world.run(2ms);
    predecessor.pause(4s);
    world.run(15s);
    REQUIRE(world.owner_vm() == &successor);
    CHECK(world.broken_promises().empty());
    const bool holds_a = world.starts_of("a").front().worker == worker;
    CHECK(world.starts_of(holds_a ? "a" : "b").size() == 2);
}
