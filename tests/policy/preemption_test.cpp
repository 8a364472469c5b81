#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using acaciastile::test::fixture;

namespace
{

constexpr resources whole{4000, 1024, 0};
constexpr resources half{2000, 512, 0};

} // namespace

TEST_CASE("urgent work takes the room of preemptible work", "[preemption]")
{
    fixture env;
    env.open_worker("w1", whole);
    env.sched->enqueue(fixture::job("b", "north", work_class::batch, half, 2));
    REQUIRE(env.decide(0).placements.size() == 2);
    env.sched->enqueue(fixture::job("u", "south", work_class::urgent, half, 1));
    decisions decided = env.decide(1'000);
    REQUIRE(decided.placements.empty());
    REQUIRE(decided.preemptions.size() == 1);
    // The task still occupies its worker; its checkpoint is requested once.
    CHECK(env.decide(1'100).preemptions.empty());
    task_end stopped;
    stopped.succeeded = false;
    stopped.stopped = true;
    env.end("b", decided.preemptions[0].task.index, stopped);
    env.sched->enqueue(fixture::job("c", "north", work_class::batch, half, 1));
    decided = env.decide(2'000);
    REQUIRE(decided.placements.size() == 1);
    CHECK(decided.placements[0].task.job == job_id("u"));
}

TEST_CASE("what is not preemptible is never stopped", "[preemption]")
{
    fixture env;
    env.open_worker("w1", whole);
    env.sched->enqueue(
        fixture::job("s", "north", work_class::service, half, 1));
    env.sched->enqueue(fixture::job("g", "north", work_class::gang, half, 1));
    REQUIRE(env.decide(0).placements.size() == 2);
    env.sched->enqueue(fixture::job("u", "south", work_class::urgent, half, 1));
    for (std::int64_t now = 1'000; now < 5'000; now += 500)
    {
        CHECK(env.decide(now).preemptions.empty());
    }
}

TEST_CASE("batch work preempts nothing", "[preemption]")
{
    fixture env;
    env.open_worker("w1", whole);
    env.sched->enqueue(fixture::job("a", "north", work_class::batch, whole, 1));
    REQUIRE(env.decide(0).placements.size() == 1);
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, whole, 1));
    for (std::int64_t now = 1'000; now < 300'000; now += 10'000)
    {
        CHECK(env.decide(now).preemptions.empty());
    }
}

TEST_CASE("headroom is kept for urgent work alone", "[headroom]")
{
    fixture env;
    for (int number = 0; number < 16; ++number)
    {
        env.open_worker("w" + std::to_string(10 + number), {8000, 8192, 0});
    }
    const resources one{1000, 100, 0};
    env.sched->enqueue(fixture::job("u0", "north", work_class::urgent, one, 1));
    REQUIRE(env.decide(0).placements.size() == 1);
    env.end("u0", 0);
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, one, 500));
    CHECK(env.decide(1).placements.size() == 127);
    env.sched->enqueue(fixture::job("u1", "north", work_class::urgent, one, 1));
    CHECK(env.decide(2).placements.size() == 1);
}
