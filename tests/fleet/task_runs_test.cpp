#include "support/fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// Starts a world with the tasks a and b on the worker w0, whose registration
/// then expires while it stays reachable, and with two idle workers. The first
/// run of a ends on w0 as `first_end` says, the second takes 20 s. When this
/// returns, the second run is on another worker, and the store still says that
/// both first runs may be on w0.
void run_again_elsewhere(fleet_world& world, fleet::run_end first_end)
{
    int runs_of_a = 0;
    world.workers.behaviour = [runs_of_a](const fleet::task_ref& task) mutable
    {
        const bool first = task.step.job == job_id("a") && runs_of_a++ == 0;
        return standin::task_behaviour{first ? 2s : 20s, false};
    };
    world.submit("a", {tasks(1)});
    world.submit("b", {tasks(1)});
    world.run(500ms);
    world.store.put("registry", "w0", "");
    world.run(500ms);
    world.add_worker("w1");
    world.add_worker("w2");
    if (first_end == fleet::run_end::failed)
    {
        world.workers.faults_of(worker_id("w0")).failing = true;
    }
    else
    {
        world.workers.end_runs({{job_id("a"), 0, 0}, 0}, first_end);
    }
    world.run(2s);
    REQUIRE(world.starts_of("a").size() == 2);
    REQUIRE(world.starts_of("a").back().worker != worker_id("w0"));
    REQUIRE_FALSE(
        world.store.newest(fleet::topics::progress, "away/w0").empty());
}

} // namespace

// Guards against a third run of a task after a take-over: the new owner learnt
// of an ended run from a stored absence, took it for the task's current one and
// stopped the run that was active on another worker.
TEST_CASE(
    "a run that a stored absence still lists does not displace the active one",
    "[fleet]")
{
    const auto first_end =
        GENERATE(fleet::run_end::failed, fleet::run_end::stopped);
    fleet_world world(2, 1);
    run_again_elsewhere(world, first_end);
    world.owner_vm()->kill();
    world.run(4s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.broken_promises().empty());
    CHECK(world.starts_of("a").size() == 2);
}

// Guards against starts over a worker's capacity: the owner did not count a run
// that a worker listed beside another run of the same task.
TEST_CASE(
    "a worker that lists two runs of a task is not filled beyond its capacity",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    const auto over_capacity = [&world]
    {
        const auto broken = world.broken_promises();
        return std::count(broken.begin(), broken.end(), "over capacity: w0");
    };
    world.submit("a", {tasks(1, 6)});
    world.run(500ms);
    REQUIRE(world.starts_of("a").size() == 1);
    // An order of an earlier owner whose run the worker still lists.
    fleet::start_order order;
    order.task = {{job_id("a"), 0, 0}, 0};
    order.run = world.starts_of("a").front().run - 1;
    world.workers.start(
        {worker_id("w0"), "w0", 1},
        world.owner()->token(),
        worker_instant(20s),
        order,
        [](const result<fleet::start_answer>&) {});
    world.run(1'500ms);
    world.submit("b", {tasks(2, 6)});
    world.run(2s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(over_capacity() == 0);
    CHECK(world.workers.running() == 2);
}

// Guards against starts over a worker's capacity: a worker that had restarted
// with fewer resources was filled by the capacity of its earlier incarnation
// until the registry told the new one.
TEST_CASE(
    "a restarted worker gets no task before its new capacity is known",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.submit("a", {tasks(4, 4)});
    world.run(500ms);
    REQUIRE(world.workers.running() == 4);
    // Longer than the status poll in flight, which the restart leaves without
    // an answer.
    world.restart_worker("w0", 8, 4s);
    world.run(3'900ms);
    CHECK(world.workers.running() == 0);
    world.run(1'100ms);
    CHECK(world.workers.running() == 2);
}

// Guards against starts over a worker's capacity: an idle worker had restarted
// with fewer resources, and took the orders that were decided by the capacity
// of its earlier incarnation, as no call in flight had told of the restart.
TEST_CASE(
    "an idle worker that restarted takes no order for its earlier incarnation",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    world.restart_worker("w0", 8, 1s);
    world.submit("a", {tasks(4, 4)});
    while (world.events.count(event_number::start_refused) == 0)
    {
        world.run(1ms);
    }
    world.run(10ms); // The refusal leads to a status poll at once.
    CHECK(world.events.count(event_number::worker_restarted) == 1);
    world.run(850ms);
    CHECK(world.workers.running() == 0);
    world.run(1s);
    CHECK(world.broken_promises().empty());
    CHECK(world.workers.running() == 2);
}

// Guards against a task that runs twice: a status poll for the earlier
// incarnation of a worker extended the lease of the present one by a time on
// another clock, and let it drop ends that nobody had seen. Also guards against
// a worker that counts as silent for that.
TEST_CASE(
    "a restarted worker takes no lease or number for its earlier incarnation",
    "[fleet]")
{
    const milliseconds registers_after = GENERATE(0ms, 2'000ms);
    CAPTURE(registers_after.count());
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("short") ? 500ms : 20s, false};
    };
    world.submit("short", {tasks(1)});
    world.submit("long", {tasks(1)});
    world.run(500ms);
    REQUIRE(world.workers.running() == 2);
    // Between the end of a run and the status poll that acknowledges it, so
    // that no poll is in flight.
    while (world.workers.running() == 2)
    {
        world.run(1ms);
    }
    world.run(2ms);
    world.restart_worker("w0", 16, registers_after);
    world.run(1s);
    CHECK(world.workers.acknowledged_of(worker_id("w0")) == 0);
    CHECK(world.events.count(event_number::worker_silent) == 0);
    CHECK(world.events.count(event_number::worker_restarted) == 1);
    world.run(2s);
    CHECK(world.starts_of("long").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against starts over a worker's capacity: an idle worker, whose restart
// no status poll tells, took orders that were decided by the capacity of its
// earlier incarnation.
TEST_CASE(
    "an idle worker that restarts is not filled by its earlier capacity",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    world.restart_worker("w0", 8, 10ms);
    world.submit("a", {tasks(4, 4)});
    world.run(2s);
    CHECK(world.broken_promises().empty());
    CHECK(world.workers.running() == 2);
}

// Guards against an account over its cap after a take-over: the new owner did
// not count what may run on workers that it has not heard from yet.
TEST_CASE(
    "runs on workers that a new owner has not heard from count for the cap",
    "[fleet]")
{
    fleet_world world(2, 4);
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    account.cap = {5'000, 0, 0};
    world.config =
        fleet::configuration(2, world.config.queues(), {account}, {});
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("a") ? 5s : 500ms, false};
    };
    world.submit("a", {tasks(4)});
    world.run(500ms);
    REQUIRE(world.workers.running() == 4);
    for (const standin::worker_event& each : world.workers.events())
    {
        world.workers.faults_of(each.worker).silent = true;
    }
    world.owner_vm()->kill();
    while (world.owner() == nullptr || !world.owner()->loaded())
    {
        world.run(10ms);
    }
    world.run(1'100ms);
    // A job that no earlier owner knows, passed on by the VM that stored it.
    world.submit("b", {tasks(4)});
    world.owner()->accept(*fleet::decode_accepted_job(
        "b", world.store.newest(fleet::topics::jobs, "b")));
    world.run(300ms);
    CHECK(world.workers.running() == 5);
    std::size_t most = 0;
    for (int n = 0; n < 500; ++n)
    {
        world.run(20ms);
        most = std::max(most, world.workers.running());
    }
    CHECK(most == 5);
    CHECK(world.view("b").state == job_state::completed);
}

// Guards against a task that runs twice: an order without an answer was carried
// out by the worker's next incarnation, after the task had started again.
TEST_CASE(
    "a start order that arrives after its worker restarted starts nothing",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).late = 4s;
    world.submit("a", {tasks(1)});
    world.run(600ms);
    REQUIRE(world.starts_of("a").empty());
    world.restart_worker("w0");
    world.run(8s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs again after it is done: its first order got
// no answer, its second was carried out and ended, and the worker's next
// incarnation carried out the first.
TEST_CASE(
    "a late order of a run that has ended starts nothing after a restart",
    "[fleet]")
{
    const bool loses_stops = GENERATE(false, true);
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).late = 5s;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::run_started) == 0)
    {
        world.run(1ms);
    }
    world.workers.faults_of(worker_id("w0")).late = 0ms;
    REQUIRE(world.run_until("a", job_state::completed, 3s));
    REQUIRE(world.events.count(event_number::start_unanswered) == 1);
    world.restart_worker("w0");
    // A stop order that gets no answer is sent again.
    world.workers.faults_of(worker_id("w0")).losing_stops = loses_stops;
    for (int n = 0;
         n < 3'000 && world.events.count(event_number::run_stopped) == 0;
         ++n)
    {
        world.run(1ms);
    }
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).losing_stops = false;
    world.run(6s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: the worker's next incarnation carried
// out an order that had got no answer, after it had started a later run.
TEST_CASE(
    "a late order starts nothing on a restarted worker that has a later run",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).late = 5s;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::start_unanswered) < 2)
    {
        world.run(1ms);
    }
    world.workers.faults_of(worker_id("w0")).late = 0ms;
    world.run(1'500ms);
    // The present incarnation may still carry the orders out.
    REQUIRE(world.starts_of("a").empty());
    world.restart_worker("w0");
    world.run(2s); // The orders are late until then.
    REQUIRE(world.starts_of("a").size() == 1);
    world.run(6s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: an order without an answer was barred
// on the next incarnation of its worker, but not on the one after it.
TEST_CASE(
    "a late order starts nothing after its worker restarted twice", "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).late = 5s;
    world.submit("a", {tasks(1)});
    world.run(600ms);
    REQUIRE(world.starts_of("a").empty());
    world.restart_worker("w0");
    world.run(2s);
    REQUIRE(world.starts_of("a").size() == 1);
    world.restart_worker("w0");
    world.run(8s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a late order to an earlier incarnation
// was refused by the present one but extended its lease, by a time on the clock
// of the earlier one, beyond the end that the owner waited for.
TEST_CASE(
    "a late order that is refused does not outdate the end of a lease",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.run(20s);
    world.workers.faults_of(worker_id("w0")).late = 5s;
    world.submit("a", {tasks(1)});
    world.run(600ms);
    REQUIRE(world.starts_of("a").empty());
    world.restart_worker("w0");
    world.run(5s);
    REQUIRE(world.starts_of("a").size() == 1);
    world.add_worker("w1");
    world.owner_vm()->orders.cut.insert(worker_id("w0"));
    world.run(12s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a run that goes on after its job was cancelled: a worker took
// a stop order and restarted, its next incarnation carried out a late copy of
// the start order, and the owner held the stop to be answered.
TEST_CASE(
    "a run that a restarted worker lists is stopped there as well", "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.run(500ms);
    world.workers.faults_of(worker_id("w0")).earlier_copy = 510ms;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::run_started) == 0)
    {
        world.run(1ms);
    }
    world.run(400ms);
    REQUIRE(world.workers.running() == 1);
    world.owner()->cancel(job_id("a"), [](const result<bool>&) {});
    world.run(100ms);
    REQUIRE(world.events.count(event_number::run_stopped) == 1);
    world.restart_worker("w0");
    world.run(20ms);
    REQUIRE(world.starts_of("a").size() == 2);
    REQUIRE(world.workers.running() == 1);
    REQUIRE(world.events.count(event_number::worker_restarted) == 0);
    world.run(3s);
    REQUIRE(world.events.count(event_number::worker_restarted) == 1);
    CHECK(world.workers.running() == 0);
}

// Guards against a task that runs twice: the refusal of a start order's second
// copy was taken for that of the order, although the first copy, which had got
// no answer, was carried out later.
TEST_CASE(
    "the refusal of an order's second copy does not withdraw the start",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    auto& faults = world.workers.faults_of(worker_id("w0"));
    faults.earlier_copy = 1s;
    faults.unhealthy = true;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::start_refused) == 0)
    {
        world.run(1ms);
    }
    faults.earlier_copy = 0ms;
    faults.unhealthy = false;
    world.add_worker("w1");
    world.run(5s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against tasks that wait for ever: the runs of a worker that died
// before a new owner had extended its lease were never taken as ended.
TEST_CASE(
    "runs of a worker that dies before its first lease start again", "[fleet]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{6s, false};
    };
    world.submit("a", {tasks(1)});
    world.run(500ms);
    REQUIRE(world.starts_of("a").size() == 1);
    const worker_id worker = world.starts_of("a").front().worker;
    const std::uint64_t token = world.owner()->token();
    world.owner_vm()->kill();
    // A run of a job that the new owner has not read: until it has, the worker
    // gets no lease.
    fleet::start_order order;
    order.task = {{job_id("unread"), 0, 0}, 0};
    order.run = 1;
    world.workers.start(
        {worker, worker.str(), 1},
        token,
        worker_instant(4s),
        order,
        [](const result<fleet::start_answer>&) {});
    while (world.owner() == nullptr || !world.owner()->loaded())
    {
        world.run(10ms);
    }
    world.run(300ms);
    world.workers.faults_of(worker).silent = true;
    CHECK(world.run_until("a", job_state::completed, 30s));
    CHECK(world.broken_promises().empty());
}

// Guards against starts over a worker's capacity: the run of a job whose
// request was already deleted counted as if it needed nothing.
TEST_CASE(
    "nothing starts beside a run whose resources are not known", "[fleet]")
{
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    REQUIRE(world.owner() != nullptr);
    const std::uint64_t token = world.owner()->token();
    world.owner_vm()->kill();
    world.specs[{job_id("gone"), 0, 0}] = tasks(1, 10);
    fleet::job_progress cancelled;
    cancelled.state = job_state::cancelled;
    cancelled.ended = world.clock.wall();
    world.store.put(fleet::topics::progress, "gone", encode(cancelled));
    fleet::start_order order;
    order.task = {{job_id("gone"), 0, 0}, 0};
    order.run = 1;
    world.workers.start(
        {worker_id("w0"), "w0", 1},
        token,
        worker_instant(20s),
        order,
        [](const result<fleet::start_answer>&) {});
    world.submit("b", {tasks(2, 6)});
    world.run(4s);
    CHECK(world.starts_of("b").size() == 1);
    CHECK(world.workers.running() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a worker that was draining and lost
// the store still ran its tasks, but a new owner took it for gone.
TEST_CASE(
    "a new owner expects runs on a draining worker whose registration expired",
    "[fleet]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{8s, false};
    };
    world.submit("a", {tasks(8)});
    world.run(1s);
    REQUIRE(world.starts_of("a").size() == 1);
    const std::string worker = world.starts_of("a").front().worker.str();
    world.register_worker(worker, "draining");
    world.run(500ms);
    world.owner_vm()->kill();
    world.store.put("registry", worker, "");
    CHECK(world.run_until("a", job_state::completed, 40s));
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a new owner counted the leases of its
// predecessor from its own claim, although the predecessor went on extending
// them while the new owner could not load.
TEST_CASE(
    "a new owner that loads late still waits for leases of its predecessor",
    "[fleet]")
{
    fleet_world world(2, 2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.submit("a", {tasks(8)});
    world.run(1s);
    REQUIRE(world.owner_vm() != nullptr);
    const worker_id worker = world.starts_of("a").front().worker;
    auto& predecessor = *world.owner_vm();
    auto& successor = *world.vms[&predecessor == world.vms[0].get() ? 1 : 0];
    predecessor.store_client.requests_rejected = true;
    while (successor.owner == nullptr)
    {
        world.run(1ms);
    }
    successor.store_client.requests_rejected = true;
    world.run(8s);
    REQUIRE_FALSE(successor.owner->loaded());
    world.workers.faults_of(worker).silent = true;
    predecessor.kill();
    successor.store_client.requests_rejected = false;
    world.run(15s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a status report that a restarted
// worker had made before it got a start order arrived after the answer to that
// order, and the run was taken as ended by the restart.
TEST_CASE(
    "a report older than a start does not end it when the worker restarted",
    "[fleet]")
{
    // When the owner reads the registry and polls depends on the phase.
    const int phase = GENERATE(range(0, 300, 10));
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(1s + milliseconds(phase));
    world.restart_worker("w0", 16, 0ms);
    auto& faults = world.workers.faults_of(worker_id("w0"));
    faults.order_transit = 350ms;
    faults.report_transit = 350ms;
    // Sent before the owner reads of the restart, and carried out after the
    // worker has reported to the first poll that follows.
    world.submit("a", {tasks(1)});
    world.run(50ms);
    world.add_worker("w1");
    world.run(5s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

TEST_CASE("a run that its worker lists after its recorded end is logged")
{
    fleet_world world(1, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.submit("a", {tasks(1)});
    world.run(500ms);
    REQUIRE(world.starts_of("a").size() == 1);
    world.restart_worker("w0");
    world.run(2s);
    const std::uint64_t token = world.workers.token_of(worker_id("w0"));
    REQUIRE(world.events.count(event_number::run_lost) == 1);
    CHECK(world.events.count(event_number::run_reappeared) == 0);
    fleet::start_order order;
    order.task = {{job_id("a"), 0, 0}, 0};
    order.run = world.starts_of("a").front().run;
    world.workers.start(
        {worker_id("w0"), "w0", 2},
        token,
        worker_instant(20s),
        order,
        [](const result<fleet::start_answer>&) {});
    world.run(2s);
    CHECK(world.events.count(event_number::run_reappeared) == 1);
}

// Guards against a task that runs twice: an order without an answer is carried
// out after its run is over, by a worker that has just restarted and has not
// been polled since.
TEST_CASE(
    "a late order that a restarted worker takes before its first poll starts "
    "no second run",
    "[fleet]")
{
    const milliseconds gap = GENERATE(10ms, 50ms, 150ms);
    CAPTURE(gap.count());
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.run(500ms);
    const worker_id worker("w0");
    world.workers.faults_of(worker).late = 4s;
    world.submit("a", {tasks(1)});
    while (world.events.count(event_number::run_started) == 0)
    {
        world.run(1ms);
    }
    const instant carried_out = world.clock.now() + 4s;
    world.run(500ms); // The order is sent a second time.
    world.workers.faults_of(worker).late = 0ms;
    world.add_worker("w1");
    world.workers.faults_of(worker).unhealthy = true;
    while (world.starts_of("a").empty())
    {
        world.run(1ms);
    }
    REQUIRE(world.starts_of("a").front().worker == worker_id("w1"));
    world.run(carried_out - gap - world.clock.now());
    world.restart_worker("w0");
    world.run(10s);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs again after it was done: the first status
// poll that reaches a restarted worker carries the number of an end that the
// earlier incarnation listed, and the worker drops an end that nobody has seen.
TEST_CASE(
    "a poll to a worker that was out of reach drops no ends of a later "
    "incarnation",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("a") ? 500ms : 30s, false};
    };
    const worker_id worker("w0");
    world.submit("b", {tasks(1, 16)});
    world.run(1s);
    world.submit("a", {tasks(1, 16)}); // Starts once the other has ended.
    world.run(1s);
    REQUIRE(world.starts_of("b").size() == 1);
    world.owner_vm()->orders.before_start = [&](const fleet::worker_address&)
    {
        auto& faults = world.workers.faults_of(worker);
        faults.order_transit = 200ms;
        faults.losing_answers = true;
    };
    world.store.mode = standin::store_mode::silent;
    world.workers.end_runs(
        world.starts_of("b").front().task, fleet::run_end::done);
    while (world.events.count(event_number::run_started) == 1)
    {
        world.run(1ms);
    }
    world.owner_vm()->orders.before_start = nullptr;
    world.run(20ms);
    world.restart_worker("w0", 16, 5s);
    world.workers.faults_of(worker).silent = true;
    world.run(800ms);
    REQUIRE(world.starts_of("a").size() == 1);
    REQUIRE(world.workers.running() == 0);
    world.store.mode = standin::store_mode::healthy;
    world.run(700ms);
    world.workers.faults_of(worker).silent = false;
    world.run(10s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.view("a").state == job_state::completed);
    CHECK(world.broken_promises().empty());
}
