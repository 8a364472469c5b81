#include "fleet/planner.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// The users' rule: 14 s after the traffic a job whose turn has come must have
/// something running, within 3 s, while there is room for it twice over.
constexpr milliseconds longest_wait = 17s;

/// Eight workers and tasks that last (`lasting`); others take 1 s.
struct free_room_world : fleet_world
{
    free_room_world() : fleet_world(1, 8)
    {
        fleet::queue_settings queue = config.queues().front();
        queue.stretch = 4.0;
        queue.latency_objective = 3s;
        config = fleet::configuration(1, {queue}, config.accounts(), {});
        workers.behaviour = [](const fleet::task_ref& task)
        {
            return standin::task_behaviour{
                task.step.job == job_id("lasting") ? 600s : 1s, false};
        };
        run(500ms);
    }

    /// Starts eight tasks that last, at most `per_worker` on each worker.
    void start_lasting(std::uint32_t per_worker)
    {
        fleet::step_spec step = tasks(8);
        step.long_running = true;
        step.max_per_worker = per_worker;
        step.estimate = 1s;
        submit("lasting", {step});
        run(3s);
        REQUIRE(workers.running() == 8);
    }
};

} // namespace

// Guards against small work that waits for good behind a gang that no end of a
// run lets start: its reservation counts the room under tasks that last
// (review/4).
TEST_CASE(
    "small work starts beside a gang that cannot start", "[fleet][known-red]")
{
    free_room_world world;
    world.start_lasting(1);
    fleet::step_spec gang = tasks(16, 1, 17);
    gang.each.milli_processors = 7'600;
    gang.gang = true;
    gang.estimate = 6s;
    world.submit("gang", {gang});
    world.run(2s);
    for (int each = 0; each < 4; ++each)
    {
        fleet::step_spec small = tasks(1);
        small.estimate = 1s;
        world.submit("small-" + std::to_string(each), {small});
    }
    for (int each = 0; each < 4; ++each)
    {
        CHECK(world.run_until(
            "small-" + std::to_string(each),
            job_state::completed,
            longest_wait));
    }
}

// Guards against tasks that last and each hold a whole worker, as workers have
// crashed under them: their trials last until they end (review/3).
TEST_CASE(
    "tasks that last hold no whole workers after crashes", "[fleet][known-red]")
{
    free_room_world world;
    world.start_lasting(0);
    for (int times = 0; times < 3; ++times)
    {
        const auto starts = world.starts_of("lasting", 0);
        REQUIRE(starts.size() == static_cast<std::size_t>(times) + 1);
        world.workers.crash(starts.back().worker);
        world.run(5s);
    }
    world.run(12s);
    REQUIRE(world.workers.running() == 8);
    world.submit("small", {tasks(4)});
    CHECK(world.run_until("small", job_state::completed, longest_wait));
}

// Guards against members of a gang that resume from different points: each
// member was given its own checkpoint, also if one of them has none.
TEST_CASE(
    "the members of a gang resume from one checkpoint", "[fleet][known-red]")
{
    const instant now{100s};
    fleet::queue_settings queue;
    queue.name = queue_name("work");
    queue.service = fleet::service_name("svc");
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    const fleet::configuration config(1, {queue}, {account}, {});
    fleet::worker_table workers;
    for (int n = 0; n < 4; ++n)
    {
        fleet::worker_registration registration;
        registration.id = worker_id("w" + std::to_string(n));
        registration.service = queue.service;
        registration.capacity = {8'000, 64'000, 0};
        workers.upsert(registration);
        workers.find(registration.id)->sealed = true;
    }
    fleet::accepted_job job;
    job.id = job_id("gang");
    job.queue = queue.name;
    job.account = account.name;
    job.request.steps = {tasks(4, 8)};
    job.request.steps.front().gang = true;
    job.request.steps.front().checkpoints = true;
    fleet::job_tracker jobs(1);
    const fleet::step_id step =
        jobs.add(std::move(job), false, now)->occurrences[0][0].id;
    // One member was lost with its worker before it had reported a value.
    for (std::uint32_t index = 1; index < 4; ++index)
    {
        jobs.find(fleet::task_ref{step, index})->checkpoint = "7";
    }
    fleet::planner decider;
    const fleet::plan decided =
        decider.decide(jobs, workers, config, now, true, {100, 100, 150ms});
    REQUIRE(decided.starts.size() == 4);
    for (const fleet::start_decision& start : decided.starts)
    {
        CHECK(start.checkpoint == decided.starts.front().checkpoint);
    }
}
