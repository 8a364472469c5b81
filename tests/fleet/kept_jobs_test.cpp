#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// A world with one VM in which the job `a` has just ended.
struct ended_job_world : fleet_world
{
    ended_job_world() : fleet_world(1, 2)
    {
        submit("a", {tasks(1)});
        REQUIRE(run_until("a", job_state::completed, 20s));
        ended = clock.now();
    }

    /// Advances the clock to a time after the end of the job.
    void run_to(milliseconds after_end)
    {
        run(ended + after_end - clock.now());
    }

    /// Ends the owner's process without notice. The next one has its own wall
    /// clock, which differs by `wall_step`.
    void replace_owner(milliseconds wall_step)
    {
        vm* owner = owner_vm();
        REQUIRE(owner != nullptr);
        owner->kill();
        clock.step_wall(wall_step);
        owner->start();
    }

    instant ended{};
};

} // namespace

// Guards against a job that is forgotten because its owner's wall clock went
// ahead, for good or for a time.
TEST_CASE(
    "an owner measures on its steady clock how long a job is kept", "[fleet]")
{
    const milliseconds jump{GENERATE(10'000, 130'000, -10'000, -130'000)};
    const bool jumps_back = GENERATE(false, true);
    CAPTURE(jump.count(), jumps_back);
    ended_job_world world;
    world.run_to(60s);
    world.clock.step_wall(jump);
    world.run(5s);
    if (jumps_back)
    {
        world.clock.step_wall(-jump);
    }
    world.run_to(119s);
    CHECK(world.view("a").state == job_state::completed);
    world.run_to(125s);
    CHECK_FALSE(world.view("a").known);
    CHECK(world.store.newest(fleet::topics::progress, "a").empty());
}

// Guards against a job that is forgotten because the wall clocks of two owners
// differ.
TEST_CASE("a job is kept by a new owner whose wall clock differs", "[fleet]")
{
    const milliseconds step{GENERATE(0, 10'000, 130'000, -10'000, -130'000)};
    CAPTURE(step.count());
    ended_job_world world;
    world.run_to(60s);
    world.replace_owner(step);
    world.run_to(119s);
    CHECK(world.view("a").state == job_state::completed);
}

// Ended jobs would pile up if each new owner kept them for the whole time.
TEST_CASE("a job is forgotten also if owners never last for long", "[fleet]")
{
    const milliseconds step{GENERATE(0, 10'000, -10'000)};
    CAPTURE(step.count());
    ended_job_world world;
    const milliseconds most = world.settings.status_kept +
                              world.settings.wall_clock_error + 40s + 10s;
    for (int n = 0; world.clock.now() < world.ended + most; ++n)
    {
        world.replace_owner(n % 2 == 0 ? step : -step);
        world.run(20s);
        if (world.clock.now() < world.ended + 119s)
        {
            CHECK(world.view("a").state == job_state::completed);
        }
    }
    CHECK_FALSE(world.view("a").known);
    CHECK(world.store.newest(fleet::topics::progress, "a").empty());
}
