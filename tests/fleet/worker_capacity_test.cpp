#include "support/fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// Sets how long all tasks work.
void set_work(fleet_world& world, milliseconds work)
{
    world.workers.behaviour = [work](const fleet::task_ref&) {
        return standin::task_behaviour{work, false};
    };
}

/// Number of runs that ended in the given way.
std::size_t ends(const fleet_world& world, fleet::run_end how)
{
    const auto& events = world.workers.events();
    return static_cast<std::size_t>(std::count_if(
        events.begin(),
        events.end(),
        [&](const standin::worker_event& each)
        {
            return each.what == standin::worker_event::kind::ended &&
                   each.how == how;
        }));
}

} // namespace

// Guards against starts over the capacity of a worker that has shrunk under its
// runs, against stopping these, and against room that stays unused when it has
// grown again.
TEST_CASE("a worker's capacity shrinks and grows under its runs", "[fleet]")
{
    fleet_world world(1, 1);
    set_work(world, 20s);
    world.submit("a", {tasks(3, 4)});
    world.run(500ms);
    REQUIRE(world.workers.running() == 3);
    world.resize_worker("w0", 8);
    world.run(1s);
    world.submit("b", {tasks(1, 4)});
    fleet::step_spec gang = tasks(2, 2);
    gang.gang = true;
    world.submit("c", {gang});
    world.run(4s);
    CHECK(world.workers.running() == 3);
    CHECK(ends(world, fleet::run_end::stopped) == 0);
    world.resize_worker("w0", 20);
    world.run(600ms);
    CHECK(world.workers.running() == 6);
}

// Guards against starts over the capacity of a worker by an entry of the
// registry that a stale read has returned after a newer one.
TEST_CASE("an older entry of a worker does not replace a newer one", "[fleet]")
{
    fleet::worker_table workers;
    fleet::worker_registration registration;
    registration.id = worker_id("w0");
    registration.incarnation = 1;
    registration.capacity = {16'000, 64'000, 0};
    workers.upsert(registration, 5);
    registration.capacity = {8'000, 64'000, 0};
    workers.upsert(registration, 9);
    registration.capacity = {16'000, 64'000, 0};
    workers.upsert(registration, 5);
    const fleet::worker_entry& worker = *workers.find(worker_id("w0"));
    CHECK(worker.registration.capacity.milli_processors == 8'000);
    workers.unlist(worker_id("w0"), 7);
    CHECK(worker.listed);
    workers.unlist(worker_id("w0"), 11);
    workers.upsert(registration, 9);
    CHECK_FALSE(worker.listed);
}

// Guards against a gang that waits for ever: the workers that were reserved for
// it have shrunk, and it reserved no others.
TEST_CASE(
    "a gang gives up a reservation on workers that have shrunk", "[fleet]")
{
    fleet_world world(1, 3);
    set_work(world, 2s);
    for (int n = 0; n < 24; ++n)
    {
        world.submit("first" + std::to_string(n), {tasks(1, 2)});
    }
    world.run(500ms);
    fleet::step_spec gang = tasks(2, 9);
    gang.gang = true;
    world.submit("gang", {gang});
    world.run(500ms);
    world.resize_worker("w0", 8);
    world.resize_worker("w1", 8);
    world.add_worker("w3");
    bool done = false;
    for (int n = 0; n < 100 && !done; ++n)
    {
        // Enough to fill all workers at all times.
        world.submit("later" + std::to_string(n), {tasks(6, 2)});
        world.run(200ms);
        done = world.view("gang").state != job_state::queued;
    }
    CHECK(done);
}

// Guards against an account over its cap: a new owner took the present capacity
// of a worker that it had not heard from for the most that runs there may use,
// though they had started before the worker shrank.
TEST_CASE(
    "runs on a worker that has shrunk and is not heard from count in full",
    "[fleet]")
{
    fleet_world world(2, 2);
    set_work(world, 30s);
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    account.cap = {20'000, 0, 0};
    const fleet::queue_settings queue = *world.config.find(queue_name("work"));
    world.config = fleet::configuration(2, {queue}, {account}, {});
    world.submit("a", {tasks(1, 14)});
    world.run(1s);
    REQUIRE(world.starts_of("a").size() == 1);
    const worker_id worker = world.starts_of("a").front().worker;
    world.resize_worker(worker.str(), 4);
    world.run(1s);
    world.workers.faults_of(worker).silent = true;
    world.owner_vm()->kill();
    for (int n = 0; n < 200 && !(world.owner() && world.owner()->loaded()); ++n)
    {
        world.run(20ms);
    }
    REQUIRE(world.owner() != nullptr);
    // Jobs that were stored while the earlier owner may have decided wait.
    world.run(1'500ms);
    world.submit("b", {tasks(1, 14)});
    world.run(600ms);
    CHECK(world.workers.running() == 1);
}
