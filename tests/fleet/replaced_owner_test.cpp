#include "support/fleet_world.hpp"

#include <algorithm>
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
    "[fleet]")
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

// Guards against a task that runs twice: an owner that was cut off from the
// store and from every worker that its successor had sealed went on extending
// leases of the others, beyond the end that the successor waited for.
TEST_CASE(
    "an owner that reaches neither the store nor most workers extends no lease",
    "[fleet]")
{
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    for (const char* job : {"a", "b", "c", "d"})
    {
        world.submit(job, {tasks(1, 9)}); // Too large to share a worker.
    }
    world.run(1s);
    REQUIRE(world.workers.running() == 4);
    world.add_worker("w4");
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    predecessor.store_client.requests_rejected = true;
    predecessor.orders.cut = {
        worker_id("w1"), worker_id("w2"), worker_id("w3"), worker_id("w4")};
    successor.orders.cut = {worker_id("w0")};
    world.run(20s);
    REQUIRE(successor.leadership->is_owner());
    CHECK(world.broken_promises().empty());
}

// Guards against lost work: without the store, an owner has to extend leases as
// long as the workers accept its orders.
TEST_CASE("runs outlive an outage of the store that is longer than a lease")
{
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref& task) {
        return standin::task_behaviour{task.step.step == 0 ? 12s : 20s, false};
    };
    fleet::step_spec second = tasks(2, 9);
    second.after = {0};
    world.submit("a", {tasks(2, 9), second});
    world.submit("b", {tasks(2, 1)});
    world.run(1s);
    REQUIRE(world.workers.running() == 4);
    world.store.mode = standin::store_mode::silent;
    world.run(18s);
    // The first step ended during the outage, and the second has started.
    CHECK(world.workers.running() == 2);
    world.store.mode = standin::store_mode::healthy;
    CHECK(world.run_until("a", job_state::completed, 30s));
    CHECK(world.broken_promises().empty());
    const auto& events = world.workers.events();
    CHECK(std::none_of(
        events.begin(),
        events.end(),
        [](const standin::worker_event& each)
        {
            return each.what == standin::worker_event::kind::ended &&
                   each.how == fleet::run_end::lapsed;
        }));
}
