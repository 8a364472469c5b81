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
    fixture at;
    at.open_worker("w1", whole);
    at.made->enqueue(fixture::job("b", "north", work_class::batch, half, 2));
    REQUIRE(at.decide(0).placements.size() == 2);
    at.made->enqueue(fixture::job("u", "south", work_class::urgent, half, 1));
    decisions made = at.decide(1'000);
    REQUIRE(made.placements.empty());
    REQUIRE(made.preemptions.size() == 1);
    // The task still occupies its worker, and is asked for once.
    CHECK(at.decide(1'100).preemptions.empty());
    task_end stopped;
    stopped.succeeded = false;
    stopped.stopped = true;
    at.end("b", made.preemptions[0].task.index, stopped);
    at.made->enqueue(fixture::job("c", "north", work_class::batch, half, 1));
    made = at.decide(2'000);
    REQUIRE(made.placements.size() == 1);
    CHECK(made.placements[0].task.job == job_id("u"));
}

TEST_CASE("what is not preemptible is never stopped", "[preemption]")
{
    fixture at;
    at.open_worker("w1", whole);
    at.made->enqueue(fixture::job("s", "north", work_class::service, half, 1));
    at.made->enqueue(fixture::job("g", "north", work_class::gang, half, 1));
    REQUIRE(at.decide(0).placements.size() == 2);
    at.made->enqueue(fixture::job("u", "south", work_class::urgent, half, 1));
    for (std::int64_t now = 1'000; now < 5'000; now += 500)
    {
        CHECK(at.decide(now).preemptions.empty());
    }
}

TEST_CASE("batch work preempts nothing", "[preemption]")
{
    fixture at;
    at.open_worker("w1", whole);
    at.made->enqueue(fixture::job("a", "north", work_class::batch, whole, 1));
    REQUIRE(at.decide(0).placements.size() == 1);
    at.made->enqueue(fixture::job("b", "south", work_class::batch, whole, 1));
    for (std::int64_t now = 1'000; now < 300'000; now += 10'000)
    {
        CHECK(at.decide(now).preemptions.empty());
    }
}

TEST_CASE("headroom is kept for urgent work alone", "[headroom]")
{
    fixture at;
    for (int number = 0; number < 16; ++number)
    {
        at.open_worker("w" + std::to_string(10 + number), {8000, 8192, 0});
    }
    const resources one{1000, 100, 0};
    at.made->enqueue(fixture::job("u0", "north", work_class::urgent, one, 1));
    REQUIRE(at.decide(0).placements.size() == 1);
    at.end("u0", 0);
    at.made->enqueue(fixture::job("b", "south", work_class::batch, one, 500));
    CHECK(at.decide(1).placements.size() == 127);
    at.made->enqueue(fixture::job("u1", "north", work_class::urgent, one, 1));
    CHECK(at.decide(2).placements.size() == 1);
}
