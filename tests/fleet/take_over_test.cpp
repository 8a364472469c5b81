#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// A world in which the owner was replaced and does not know it, as the store
/// stores none of its renewals and its watch of them tells it nothing.
struct replaced_owner_world : fleet_world
{
    replaced_owner_world(std::size_t workers) : fleet_world(2, workers)
    {
        run(500ms);
        REQUIRE(owner_vm() != nullptr);
        predecessor = owner_vm();
        successor = vms[predecessor == vms[0].get() ? 1 : 0].get();
    }

    /// Advances the clock until the successor has claimed the fleet.
    void replace()
    {
        store.long_polls_ignore_appends = true;
        predecessor->store_client.rejected_appends.insert(
            fleet::leadership::topic);
        while (successor->owner == nullptr)
        {
            run(1ms);
        }
        REQUIRE(predecessor->owner != nullptr);
    }

    /// Stores a job and passes it on to an owner.
    void submit_through(
        vm& to, const std::string& id, std::vector<fleet::step_spec> steps)
    {
        submit(id, std::move(steps));
        to.owner->accept(*fleet::decode_accepted_job(
            id, store.newest(fleet::topics::jobs, id)));
    }

    /// Stores a job with two occurrences an hour apart.
    void submit_recurring(
        const std::string& id,
        const fleet::step_spec& step,
        fleet::wall_time first_due)
    {
        fleet::accepted_job job;
        job.id = job_id(id);
        job.queue = queue_name("work");
        job.account = fleet::account_name("acct");
        job.request.steps = {step};
        job.request.occurrences = 2;
        job.request.first_due = first_due;
        job.request.interval = 1h;
        job.settings_at_acceptance = *config.find(job.queue);
        specs[{job.id, 0, 0}] = step;
        store.put(fleet::topics::jobs, id, encode(job));
    }

    vm* predecessor = nullptr;
    vm* successor = nullptr;
};

} // namespace

// Guards against a task that starts again after it was done, and against failed
// runs that are not counted: a new owner read the progress of a job before the
// job itself, and dropped it.
TEST_CASE(
    "progress of a job that a new owner reads after it is kept", "[fleet]")
{
    replaced_owner_world world(1);
    // The first task is soon done, the second soon fails and runs again.
    int runs_of_second = 0;
    world.workers.behaviour = [&runs_of_second](const fleet::task_ref& task)
    {
        const bool fails = task.index == 1 && runs_of_second++ == 0;
        return standin::task_behaviour{task.index == 0 ? 50ms : 60s, fails};
    };
    // The successor reads the jobs, and its fence is stored late.
    world.successor->store_client.rejected_appends.insert(
        fleet::topics::progress);
    world.replace();
    world.run(10ms);
    world.submit_through(*world.predecessor, "a", {tasks(2)});
    world.run(300ms);
    REQUIRE(world.starts_of("a", 0).size() == 1);
    REQUIRE(world.starts_of("a", 1).size() == 2);
    REQUIRE(world.workers.running() == 1);
    world.predecessor->kill();
    world.store.long_polls_ignore_appends = false;
    world.successor->store_client.rejected_appends.clear();
    world.run(5s);
    world.workers.end_runs({{job_id("a"), 0, 0}, 1}, fleet::run_end::failed);
    world.run(5s);
    CHECK(world.starts_of("a", 0).size() == 1);
    CHECK(world.starts_of("a", 1).size() == 2);
    CHECK(world.view("a").state == job_state::failed);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a new owner read the record of a
// worker that is out of sight before it read the job of a run listed there, and
// ignored the run.
TEST_CASE(
    "a run on an absent worker whose job a new owner reads later still counts",
    "[fleet]")
{
    replaced_owner_world world(2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    // The successor reads the jobs, and its fence is stored late.
    world.successor->store_client.rejected_appends.insert(
        fleet::topics::progress);
    world.replace();
    world.run(10ms);
    world.submit_through(*world.predecessor, "a", {tasks(1, 9)});
    world.run(100ms);
    REQUIRE(world.starts_of("a").size() == 1);
    const worker_id worker = world.starts_of("a").front().worker;
    world.workers.faults_of(worker).silent = true;
    for (int n = 0;
         n < 3'000 && world.events.count(event_number::worker_noted) == 0;
         ++n)
    {
        world.run(1ms);
    }
    REQUIRE(world.events.count(event_number::worker_noted) == 1);
    world.run(100ms);
    REQUIRE(world.workers.running() == 1);
    world.predecessor->kill();
    world.store.long_polls_ignore_appends = false;
    world.successor->store_client.rejected_appends.clear();
    const std::string key = fleet::absent_worker_table::key_of(worker);
    while (world.workers.running() == 1)
    {
        world.run(1ms);
        // A further owner would load this.
        const auto record = fleet::decode_absence_record(
            world.store.newest(fleet::topics::progress, key));
        REQUIRE(record);
        REQUIRE(record->runs.size() == 1);
    }
    world.run(20s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a new owner restored the runs on
// absent workers before it opened the occurrences of recurring jobs, and
// ignored them.
TEST_CASE(
    "a recurring job's run on an absent worker still counts for a new owner",
    "[fleet]")
{
    replaced_owner_world world(2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{30s, false};
    };
    world.submit_recurring("a", tasks(1, 9), world.clock.wall() + 500ms);
    world.run(1s);
    REQUIRE(world.starts_of("a").size() == 1);
    const worker_id worker = world.starts_of("a").front().worker;
    world.workers.faults_of(worker).silent = true;
    for (int n = 0;
         n < 3'000 && world.events.count(event_number::worker_noted) == 0;
         ++n)
    {
        world.run(1ms);
    }
    REQUIRE(world.events.count(event_number::worker_noted) == 1);
    world.run(100ms);
    REQUIRE(world.workers.running() == 1);
    world.predecessor->kill();
    world.run(20s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that starts again after it was done: a new owner whose
// clock is behind ignored an end in an occurrence that is not due by that
// clock, and acknowledged it.
TEST_CASE(
    "an end counts for a new owner whose clock is behind the time it was due",
    "[fleet]")
{
    replaced_owner_world world(1);
    const bool ended = GENERATE(false, true);
    CAPTURE(ended);
    world.workers.behaviour = [ended](const fleet::task_ref&) {
        return standin::task_behaviour{ended ? 1s : 4s, false};
    };
    world.submit_recurring("a", tasks(1), world.clock.wall() + 500ms);
    world.run(1s);
    REQUIRE(world.starts_of("a").size() == 1);
    world.predecessor->kill();
    world.clock.step_wall(-5s);
    world.run(20s);
    REQUIRE(world.owner_vm() == world.successor);
    REQUIRE(world.workers.acknowledged_of(worker_id("w0")) > 0);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a job that was passed on to a new
// owner counted as unknown to the predecessor, which had started it on a worker
// that the new owner had not heard from.
TEST_CASE(
    "a job passed on to a new owner may have been started by its predecessor",
    "[fleet]")
{
    replaced_owner_world world(1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{10s, false};
    };
    world.add_worker("w1", "r1-1", 32);
    world.run(500ms);
    world.successor->orders.cut.insert(worker_id("w1"));
    world.replace();
    world.run(50ms);
    REQUIRE(world.successor->owner->loaded());
    world.submit_through(*world.predecessor, "a", {tasks(1, 20)});
    world.run(50ms);
    REQUIRE(world.starts_of("a").size() == 1);
    world.add_worker("w2", "r1-1", 32);
    world.run(400ms);
    // The caller has had no answer and sends the job again.
    world.submit_through(*world.successor, "a", {tasks(1, 20)});
    world.run(100ms);
    world.predecessor->kill();
    world.store.long_polls_ignore_appends = false;
    world.run(20s);
    CHECK(world.starts_of("a").size() == 2);
    CHECK(world.view("a").state == job_state::completed);
    CHECK(world.broken_promises().empty());
}

// Guards against new jobs that wait for workers out of reach, although no
// earlier owner can have started them.
TEST_CASE(
    "a job stored after a take-over does not wait for workers not heard from",
    "[fleet]")
{
    const bool passed_on = GENERATE(true, false);
    replaced_owner_world world(2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{500ms, false};
    };
    world.successor->orders.cut.insert(worker_id("w1"));
    world.predecessor->kill();
    while (world.owner() == nullptr || !world.owner()->loaded())
    {
        world.run(1ms);
    }
    world.run(1'100ms);
    if (passed_on)
    {
        world.submit_through(*world.successor, "a", {tasks(1)});
    }
    else
    {
        world.submit("a", {tasks(1)});
    }
    CHECK(world.run_until("a", job_state::completed, 1'200ms));
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a new owner did not notice that the
// registry's log no longer told, or not as far back as it read, that a worker
// was removed, and did not wait for the runs there.
TEST_CASE(
    "a new owner waits for runs on a worker whose removal it cannot read",
    "[fleet]")
{
    // Updates of the registry after the removal, and whether they alone are
    // left in its log.
    const auto [updates, cut_short] = GENERATE(
        std::pair(0, true),
        std::pair(1'000, true),
        std::pair(3'000, false),
        std::pair(15'000, false));
    replaced_owner_world world(2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.submit("a", {tasks(2, 9)});
    world.run(1s);
    REQUIRE(world.workers.running() == 2);
    // The predecessor cannot store that the worker is out of sight.
    world.predecessor->store_client.requests_rejected = true;
    world.store.put("registry", "w1", "");
    if (cut_short)
    {
        world.store.truncate_before("registry", world.store.end("registry"));
    }
    for (int n = 0; n < updates; ++n)
    {
        world.register_worker("w0");
    }
    world.run(600ms);
    world.predecessor->kill();
    world.add_worker("w2");
    world.run(15s);
    CHECK(world.starts_of("a", 0).size() + world.starts_of("a", 1).size() == 3);
    CHECK(world.broken_promises().empty());
}

// Guards against take-overs that wait for the leases of the predecessor only
// because the registry's log was cut short where all removals were noted.
TEST_CASE(
    "a registry log that was cut short where it is not needed delays nothing",
    "[fleet]")
{
    replaced_owner_world world(2);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{500ms, false};
    };
    for (int n = 0; n < 3'000; ++n)
    {
        world.register_worker("w0");
    }
    world.run(1s);
    world.store.truncate_before("registry", world.store.end("registry"));
    world.predecessor->kill();
    world.submit("a", {tasks(1)});
    CHECK(world.run_until("a", job_state::completed, 3'500ms));
    CHECK(world.broken_promises().empty());
}

// Guards against a task that runs twice: a new owner left the request of an
// ended job in the store, also where its deletion had failed, and deleted the
// job's progress later. The next owner took the job for one that waits.
TEST_CASE("a job whose request outlives it does not start again", "[fleet]")
{
    const bool deletion_fails = GENERATE(false, true);
    fleet_world world(2, 1);
    world.run(500ms);
    REQUIRE(world.owner_vm() != nullptr);
    world.submit("a", {tasks(1)});
    REQUIRE(world.run_until("a", job_state::completed, 5s));
    if (deletion_fails)
    {
        world.owner_vm()->store_client.rejected_appends.insert(
            fleet::topics::jobs);
        world.run(3s);
        world.owner_vm()->store_client.rejected_appends.clear();
    }
    else
    {
        auto& killed = *world.owner_vm();
        killed.kill();
        killed.start();
    }
    REQUIRE_FALSE(world.store.newest(fleet::topics::jobs, "a").empty());
    world.run(130s);
    REQUIRE(world.store.newest(fleet::topics::progress, "a").empty());
    world.owner_vm()->kill();
    world.run(10s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.store.newest(fleet::topics::jobs, "a").empty());
}

// Guards against a task that starts again after it was done: a status poll that
// was meant for the earlier incarnation of a worker told the restarted one to
// drop ends up to a number that the earlier one had reached.
TEST_CASE(
    "a restarted worker is not told to drop ends of its earlier incarnation",
    "[fleet]")
{
    fleet_world world(1, 1);
    world.workers.orders_outlive_restarts = true;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{200ms, false};
    };
    world.submit("before", {tasks(3)});
    REQUIRE(world.run_until("before", job_state::completed, 5s));
    world.run(1s);
    REQUIRE(world.workers.acknowledged_of(worker_id("w0")) == 3);
    world.restart_worker("w0", 16, 5s);
    world.submit("a", {tasks(1)});
    const std::uint64_t calls = world.workers.calls();
    while (world.workers.calls() == calls)
    {
        world.run(1ms);
    }
    // The start order is on its way. Polls after it are late, so that the run
    // ends before the owner learns of the restart.
    world.workers.faults_of(worker_id("w0")).late = 1s;
    world.run(300ms);
    REQUIRE(world.starts_of("a").size() == 1);
    REQUIRE(world.workers.running() == 0);
    world.workers.faults_of(worker_id("w0")).late = 0ms;
    CHECK(world.run_until("a", job_state::completed, 10s));
    CHECK(world.starts_of("a").size() == 1);
    CHECK(world.broken_promises().empty());
}

// Guards against an owner whose process a worker's report ends: it read the
// steps of an ended job whose request is not stored any more.
TEST_CASE(
    "a run of an ended job ends after the job's request was deleted", "[fleet]")
{
    fleet_world world(2, 1);
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{4s, false};
    };
    world.submit("a", {tasks(1)});
    REQUIRE(world.run_until("a", job_state::running, 5s));
    world.owner_vm()->kill();
    fleet::job_progress cancelled;
    cancelled.state = job_state::cancelled;
    cancelled.ended = world.clock.wall();
    world.store.put(fleet::topics::progress, "a", encode(cancelled));
    world.store.put(fleet::topics::jobs, "a", "");
    world.workers.faults_of(worker_id("w0")).losing_stops = true;
    world.run(10s);
    REQUIRE(world.owner() != nullptr);
    CHECK(world.view("a").state == job_state::cancelled);
    CHECK(world.workers.running() == 0);
    CHECK(world.workers.acknowledged_of(worker_id("w0")) == 1);
    CHECK(world.starts_of("a").size() == 1);
}
