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

// Guards against a task that starts again after it was done: an owner that was
// replaced while its process stood still extended, when it went on, the lease
// of a worker on which a run ended around that time. Its successor, which did
// not reach the worker, started the task again before that lease ended, and
// then acknowledged the end of the first run.
TEST_CASE(
    "a replaced owner does not keep an end alive that its successor cannot see",
    "[fleet]")
{
    // The end of the run, from the beginning of the pause on. The last one is
    // later than any lease that was granted before the pause.
    const milliseconds end = GENERATE(500ms, 2'500ms, 4'000ms, 5'500ms);
    constexpr milliseconds pause{4'400};
    CAPTURE(end.count());
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("short") ? 1s : 60s, false};
    };
    world.submit("a", {tasks(1, 9)});
    world.run(500ms);
    world.submit("short", {tasks(1)});
    REQUIRE(world.run_until("short", job_state::running, 1s));
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    const auto first = world.starts_of("a").front();
    successor.orders.cut.insert(first.worker);
    world.add_worker("w1");
    // Between the end of a run and the status poll that acknowledges it, so
    // that no poll is in flight to that worker.
    while (world.workers.running() == 2)
    {
        world.run(1ms);
    }
    world.run(2ms);
    predecessor.pause(pause);
    world.run(end);
    world.workers.end_runs(first.task, fleet::run_end::done);
    for (int n = 0; n < 20'000 && world.starts_of("a").size() == 1; ++n)
    {
        world.run(1ms);
    }
    REQUIRE(world.starts_of("a").size() == 2);
    REQUIRE(world.owner_vm() == &successor);
    successor.orders.cut.clear();
    world.run(5s);
    REQUIRE(world.workers.acknowledged_of(first.worker) == 2);
    const auto& noted = world.workers.noted_ends();
    CHECK(std::none_of(
        noted.begin(),
        noted.end(),
        [&](const standin::worker_event& each)
        {
            return each.how == fleet::run_end::done && each.run == first.run &&
                   each.task == first.task;
        }));
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

// Guards against a task that runs twice: an owner that the store turns away and
// whose process stands still for 1 to 1.5 s around the load of its successor
// counts answers to polls of before as evidence for longer than the successor
// waits, and extends the lease of a worker that only it reaches.
TEST_CASE(
    "answers of workers confirm an owner no longer than its successor waits",
    "[fleet]")
{
    const int phase = GENERATE(range(0, 500, 20));
    const int span = GENERATE(1'200, 1'400, 1'450);
    CAPTURE(phase, span);
    fleet_world world(2, 4);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    for (const char* job : {"a", "b", "c", "d"})
    {
        world.submit(job, {tasks(1, 9)}); // Too large to share a worker.
    }
    world.submit("short", {tasks(4, 5)});
    world.run(1s);
    REQUIRE(world.workers.running() == 8);
    world.add_worker("w4");
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    const worker_id unreached("w0");
    successor.orders.cut = {unreached};
    const auto end_short_runs = [&](bool there)
    {
        for (std::uint32_t index = 0; index < 4; ++index)
        {
            const auto start = world.starts_of("short", index).front();
            if ((start.worker == unreached) == there)
            {
                world.workers.end_runs(start.task, fleet::run_end::done);
            }
        }
    };
    predecessor.store_client.requests_rejected = true;
    world.run(700ms + milliseconds(phase));
    end_short_runs(false); // Sets the phase of the polls to the others.
    while (!successor.leadership->is_owner())
    {
        world.run(1ms);
    }
    // Answers the poll in flight; the next one waits for the end's storing.
    end_short_runs(true);
    world.run(3ms);
    predecessor.pause(milliseconds(span));
    world.run(20s);
    REQUIRE(successor.leadership->is_owner());
    // The end of a short run that only its worker knows is not recorded, so the
    // task may start again.
    std::vector<std::string> twice = world.broken_promises();
    std::erase_if(
        twice,
        [](const std::string& each)
        { return each.find("two runs at once") == std::string::npos; });
    CHECK(twice.empty());
}

// Guards against a task that runs twice: a process that stands still in the
// middle of a round sends the rest of the round's starts when it goes on.
TEST_CASE(
    "an owner that stands still within a round starts nothing afterwards",
    "[fleet]")
{
    const int span = GENERATE(2'500, 4'000, 5'000, 6'500);
    CAPTURE(span);
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.run(1s);
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    int starts = 0;
    predecessor.orders.before_start = [&](const fleet::worker_address& target)
    {
        if (++starts != 1)
        {
            return;
        }
        // The process stops between two starts of one round.
        successor.orders.cut = {
            worker_id(target.id == worker_id("w0") ? "w1" : "w0")};
        world.add_worker("w2");
        predecessor.gate->pause();
        world.run(milliseconds(span));
        world.clock.after(
            0ms, [resumed = predecessor.gate] { resumed->resume(); });
    };
    world.submit("a", {tasks(1, 9)}); // Too large to share a worker.
    world.submit("b", {tasks(1, 9)});
    world.run(30s);
    REQUIRE(world.events.count(event_number::run_started) >= 2);
    REQUIRE(successor.leadership->is_owner());
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a lease on the clock of a worker's
// earlier incarnation lets a run of the next one live for the longest lease,
// longer than the owner counts.
TEST_CASE(
    "a start that reaches a restarted worker is not outlived by its run",
    "[fleet]")
{
    const int phase = GENERATE(range(0, 300, 20));
    CAPTURE(phase);
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.run(20s + milliseconds(phase));
    const worker_id worker("w0");
    world.workers.faults_of(worker).order_transit = 100ms;
    world.submit("a", {tasks(1)});
    world.run(60ms);
    world.restart_worker("w0", 16, 3s);
    world.add_worker("w1");
    world.run(55ms);
    while (world.starts_of("a").empty())
    {
        world.run(1ms);
    }
    world.workers.faults_of(worker).silent = true;
    world.run(20s);
    CHECK(world.broken_promises().empty());
}

// As above, by a status poll that is carried out late: its lease is on the
// clock of the earlier incarnation.
TEST_CASE(
    "a late lease for a worker's earlier incarnation does not outlive its "
    "owner",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{60s, false};
    };
    world.submit("a", {tasks(1)});
    world.run(20s);
    auto& faults = world.workers.faults_of(worker_id("w0"));
    faults.late = 4s;
    world.run(1'100ms); // The next poll is carried out late.
    faults.late = 0ms;
    world.restart_worker("w0", 16, 0ms);
    while (world.starts_of("a").size() < 2)
    {
        world.run(1ms);
    }
    world.run(4s);
    world.workers.faults_of(worker_id("w0")).silent = true;
    world.add_worker("w1");
    world.run(15s);
    CHECK(world.starts_of("a").size() == 3);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a worker restarts while the store
// takes no renewal, so that its token can't be raised, and takes a late poll
// for its earlier incarnation after it was sealed.
TEST_CASE("a late lease is counted where the token can't be raised", "[fleet]")
{
    fleet_world world(2, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{60s, false};
    };
    const worker_id worker("w0");
    world.submit("a", {tasks(1)});
    world.run(1s);
    const std::uint64_t before = world.workers.token_of(worker);
    world.owner_vm()->kill();
    while (world.workers.token_of(worker) == before)
    {
        world.run(1ms);
    }
    world.store.mode = standin::store_mode::silent;
    world.run(15s);
    world.workers.faults_of(worker).late = 4s;
    world.run(1'100ms); // The next poll is carried out late.
    world.workers.faults_of(worker).late = 0ms;
    world.restart_worker("w0", 16, 0ms);
    world.run(500ms);
    world.store.mode = standin::store_mode::healthy;
    while (world.starts_of("a").size() < 2)
    {
        world.run(1ms);
    }
    world.run(4s);
    world.workers.faults_of(worker).silent = true;
    world.add_worker("w1");
    world.run(30s);
    CHECK(world.starts_of("a").size() == 3);
    CHECK(world.broken_promises().empty());
}

// Guards against lost work: workers without runs that are cut off count against
// an owner without the store.
TEST_CASE(
    "runs outlive an outage of the store while idle workers are cut off",
    "[fleet]")
{
    const bool cut = GENERATE(false, true);
    CAPTURE(cut);
    fleet_world world(1, 5);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("short") ? 500ms : 60s, false};
    };
    world.submit("a", {tasks(2, 9)});
    world.submit("short", {tasks(3, 9)});
    world.run(250ms);
    REQUIRE(world.workers.running() == 5);
    if (cut)
    {
        for (std::uint32_t index = 0; index < 3; ++index)
        {
            world.workers
                .faults_of(world.starts_of("short", index).front().worker)
                .silent = true;
        }
    }
    world.run(10s);
    REQUIRE(world.workers.running() == 2);
    world.store.mode = standin::store_mode::silent;
    world.run(12s);
    CHECK(world.workers.running() == 2);
}

// Guards against a task that runs twice: a late status poll of the previous
// owner extends the lease of a worker that has restarted. The new owner seals
// the worker afterwards and counts only its own lease there.
TEST_CASE(
    "a new owner counts leases that a restarted worker took before it was "
    "sealed",
    "[fleet]")
{
    const int phase = GENERATE(range(0, 1'000, 250));
    CAPTURE(phase);
    fleet_world world(2, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{60s, false};
    };
    world.submit("a", {tasks(1)});
    world.run(20s + milliseconds(phase));
    const worker_id worker("w0");
    world.workers.faults_of(worker).late = 4s;
    world.run(1'100ms); // The next poll is carried out late.
    world.workers.faults_of(worker).late = 0ms;
    world.run(1'700ms);
    world.owner_vm()->kill();
    world.restart_worker("w0", 16, 0ms);
    while (world.starts_of("a").size() < 2)
    {
        world.run(1ms);
    }
    world.run(50ms);
    world.workers.faults_of(worker).silent = true;
    world.add_worker("w1");
    world.run(25s);
    CHECK(world.starts_of("a").size() == 3);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a restarted worker took a lease on the
// clock of its earlier incarnation before it was sealed. Its owner knows that
// and ends; the successor does not reach the worker and waits for one lease.
TEST_CASE(
    "a new owner waits for the longest lease of a worker that restarted",
    "[fleet][known-red]")
{
    const int phase = GENERATE(range(0, 1'000, 250));
    CAPTURE(phase);
    fleet_world world(2, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{60s, false};
    };
    world.submit("a", {tasks(1)});
    world.run(20s);
    const worker_id worker("w0");
    world.workers.faults_of(worker).late = 4s;
    world.run(1'100ms); // The next poll is carried out late.
    world.workers.faults_of(worker).late = 0ms;
    world.run(2s + milliseconds(phase));
    world.restart_worker("w0", 16, 0ms);
    while (world.starts_of("a").size() < 2)
    {
        world.run(1ms);
    }
    world.run(50ms);
    world.workers.faults_of(worker).silent = true;
    world.owner_vm()->kill();
    world.add_worker("w1");
    world.run(25s);
    CHECK(world.starts_of("a").size() == 3);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a start order reaches a restarted
// worker, which is lost before it answers. The owner counts its own lease, and
// the run has one on the clock of the earlier incarnation.
TEST_CASE(
    "a start that a restarted worker takes without an answer is not outlived "
    "by its run",
    "[fleet]")
{
    const milliseconds registers_after = GENERATE(50ms, 3s, 60s);
    CAPTURE(registers_after.count());
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.run(20s);
    const worker_id worker("w0");
    world.workers.faults_of(worker).order_transit = 100ms;
    world.workers.faults_of(worker).losing_answers = true;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::run_started) == 0)
    {
        world.run(1ms);
    }
    world.run(50ms);
    world.restart_worker("w0", 16, registers_after);
    world.add_worker("w1");
    while (world.starts_of("a").empty())
    {
        world.run(1ms);
    }
    world.workers.faults_of(worker).silent = true;
    world.run(25s);
    CHECK(world.starts_of("a").size() >= 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a report of the earlier incarnation
// arrives after a start order was sent, and the later incarnation takes the
// order. The clock in its answer went back, but counts as overtaken.
TEST_CASE(
    "a clock that went back tells of a restart after a later report too",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.run(15s);
    world.submit("b", {tasks(1)});
    world.run(5s);
    REQUIRE(world.starts_of("b").size() == 1);
    const worker_id worker("w0");
    world.workers.faults_of(worker).order_transit = 100ms;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::run_started) == 1)
    {
        world.run(1ms);
    }
    world.run(60ms);
    // Its end answers the poll in flight.
    world.workers.end_runs(
        world.starts_of("b").front().task, fleet::run_end::done);
    world.run(10ms);
    world.restart_worker("w0", 16, 3s);
    world.add_worker("w1");
    while (world.starts_of("a").empty())
    {
        world.run(1ms);
    }
    world.workers.faults_of(worker).silent = true;
    world.run(25s);
    CHECK(world.starts_of("a").size() >= 2);
    CHECK(world.broken_promises().empty());
}
