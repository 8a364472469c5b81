#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

const worker_id only_worker("w0");

/// A world whose owner counts from what it knows, however old, so that a count
/// takes no time.
struct counting_world : fleet_world
{
    counting_world(std::size_t vms, std::size_t workers)
        : fleet_world(vms, workers)
    {
        settings.count_without_read = 1h;
        settings.oldest_count = 1h;
    }
};

std::size_t pending(const fleet_world& world)
{
    std::optional<std::size_t> counted;
    world.owner()->count_waiting(
        queue_name("work"),
        [&](const result<fleet::waiting_count>& count)
        {
            REQUIRE(count);
            counted = count->waiting;
        });
    REQUIRE(counted);
    return *counted;
}

fleet::job_state state(const fleet_world& world)
{
    return world.view("a").state;
}

/// A world with one worker and the job a, whose task takes 20 s.
void submit_long_job(fleet_world& world)
{
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{20s, false};
    };
    world.submit("a", {tasks(1)});
}

} // namespace

// Guards against jobs that are missing in the count of waiting jobs: a job
// counted as started once its first start was ordered, even if the worker
// restarted before it carried out the order.
TEST_CASE(
    "a job waits while its start is only ordered and after a restart drops it",
    "[fleet]")
{
    counting_world world(1, 1);
    world.run(1s);
    world.workers.faults_of(only_worker).late = 5s;
    submit_long_job(world);
    for (int step = 0; step < 40; ++step)
    {
        world.run(100ms);
        CHECK(pending(world) == 1);
        CHECK(state(world) == fleet::job_state::queued);
    }
    world.restart_worker(only_worker.str());
    world.workers.faults_of(only_worker).silent = true;
    world.run(12s);
    REQUIRE(world.starts_of("a").empty());
    CHECK(pending(world) == 1);
    CHECK(state(world) == fleet::job_state::queued);
    world.workers.faults_of(only_worker).silent = false;
    CHECK(world.run_until("a", fleet::job_state::running, 8s));
    CHECK(world.starts_of("a").size() == 1);
    CHECK(pending(world) == 0);
}

// Guards against jobs that are missing in the count of waiting jobs: a job
// counted as started after a worker had rejected its only start or could not be
// reached with it.
TEST_CASE(
    "a job waits after its only start is rejected or reaches no worker",
    "[fleet]")
{
    const bool rejected = GENERATE(true, false);
    counting_world world(1, 1);
    world.run(1s);
    if (rejected)
    {
        world.workers.faults_of(only_worker).unhealthy = true;
    }
    else
    {
        world.workers.faults_of(only_worker).refusing = true;
    }
    submit_long_job(world);
    world.run(4s);
    REQUIRE(world.starts_of("a").empty());
    CHECK(pending(world) == 1);
    CHECK(state(world) == fleet::job_state::queued);
}

// Guards against a job that is shown as waiting until the next status report of
// its worker although the worker has answered that the run was started.
TEST_CASE("a job has started once its start is answered", "[fleet]")
{
    counting_world world(1, 1);
    world.run(1s);
    submit_long_job(world);
    for (int step = 0; step < 1'000 && world.starts_of("a").empty(); ++step)
    {
        world.run(1ms);
    }
    REQUIRE(world.starts_of("a").size() == 1);
    world.run(1ms);
    CHECK(pending(world) == 0);
    CHECK(state(world) == fleet::job_state::running);
}

// Guards against a job that is shown as waiting although the worker lists its
// run: the answer to the start order is lost, so only a status report tells.
TEST_CASE("a job has started once its run is listed as running", "[fleet]")
{
    counting_world world(1, 1);
    world.run(1s);
    world.workers.faults_of(only_worker).losing_answers = true;
    submit_long_job(world);
    world.run(300ms);
    REQUIRE(world.starts_of("a").size() == 1);
    CHECK(pending(world) == 1);
    // The stand-in loses the answers to starts, not its status reports.
    CHECK(world.run_until("a", fleet::job_state::running, 2s));
    CHECK(pending(world) == 0);
    CHECK(world.starts_of("a").size() == 1);
}

// Guards against a job that is shown as waiting although its run has ended: the
// worker lists the run only as ended, and the next start is rejected.
TEST_CASE("a job has started once a run of it is listed as ended", "[fleet]")
{
    counting_world world(1, 1);
    world.run(1s);
    auto& faults = world.workers.faults_of(only_worker);
    faults.losing_answers = true;
    submit_long_job(world);
    world.run(300ms);
    REQUIRE(world.starts_of("a").size() == 1);
    CHECK(pending(world) == 1);
    world.workers.end_runs({{job_id("a"), 0, 0}, 0}, fleet::run_end::failed);
    faults.unhealthy = true;
    faults.losing_answers = false;
    world.run(4s);
    CHECK(world.starts_of("a").size() == 1);
    CHECK(pending(world) == 0);
    CHECK(state(world) == fleet::job_state::running);
}

// Guards against a job that is shown as waiting again after it has been shown
// as running: its run ends and the next start is rejected.
TEST_CASE("a job that has started does not wait again", "[fleet]")
{
    counting_world world(1, 1);
    world.run(1s);
    submit_long_job(world);
    REQUIRE(world.run_until("a", fleet::job_state::running, 2s));
    world.workers.faults_of(only_worker).unhealthy = true;
    world.workers.end_runs({{job_id("a"), 0, 0}, 0}, fleet::run_end::stopped);
    world.run(4s);
    REQUIRE(world.workers.running() == 0);
    CHECK(pending(world) == 0);
    CHECK(state(world) == fleet::job_state::running);
}

// Guards against a job that is shown as waiting after a change of owner
// although the new owner has adopted its run, from a status report or a stored
// absence.
TEST_CASE("a job whose run a new owner adopts has started", "[fleet]")
{
    const bool worker_absent = GENERATE(false, true);
    counting_world world(2, 1);
    world.run(1s);
    submit_long_job(world);
    REQUIRE(world.run_until("a", fleet::job_state::running, 2s));
    if (worker_absent)
    {
        world.workers.faults_of(only_worker).silent = true;
        world.run(2s);
        REQUIRE_FALSE(
            world.store.newest(fleet::topics::progress, "away/w0").empty());
    }
    world.owner_vm()->kill();
    world.run(4s);
    REQUIRE(world.owner() != nullptr);
    REQUIRE(world.owner()->loaded());
    CHECK(pending(world) == 0);
    CHECK(state(world) == fleet::job_state::running);
}

// Guards against a job that is shown as waiting although it has started: its
// progress from before the start is stored only after the start.
TEST_CASE("a slow write of progress does not undo a job's start", "[fleet]")
{
    counting_world world(1, 1);
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    account.weight = 0.001;
    world.config = fleet::configuration(
        1, {*world.config.find(queue_name("work"))}, {account}, {});
    world.run(1s);
    for (const char* id : {"b", "c", "d", "e", "f"})
    {
        world.submit(id, {tasks(1)});
    }
    world.run(3s);
    // Its account is over its rate now, which is stored as soon as it is known.
    submit_long_job(world);
    REQUIRE(world.run_until("a", fleet::job_state::running, 2s));
    world.run(500ms);
    REQUIRE_FALSE(world.store.newest(fleet::topics::progress, "a").empty());
    CHECK(state(world) == fleet::job_state::running);
    CHECK(pending(world) == 0);
}
