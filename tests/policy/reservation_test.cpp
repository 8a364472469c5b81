#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using acaciastile::test::fixture;

namespace
{

constexpr resources half{2000, 100, 0};
constexpr resources small{500, 50, 0};

std::size_t count_of(const decisions& decided, const std::string& job)
{
    std::size_t count = 0;
    for (const placement& placed : decided.placements)
    {
        count += placed.task.job == job_id(job) ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a waiting gang gets its room kept from others", "[reservation]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.open_worker("w2", {4000, 1024, 0});
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, half, 4));
    REQUIRE(env.decide(0).placements.size() == 4);
    env.sched->enqueue(fixture::job("g", "north", work_class::gang, half, 4));
    CHECK(env.decide(5'000).placements.empty());
    CHECK(env.sched->explain(job_id("g"))->reason == "reserved");
    env.sched->enqueue(fixture::job("s", "south", work_class::batch, half, 4));
    for (std::uint32_t index = 0; index < 3; ++index)
    {
        env.end("b", index);
        CHECK(env.decide(6'000 + index).placements.empty());
    }
    env.end("b", 3);
    CHECK(count_of(env.decide(7'000), "g") == 4);
}

TEST_CASE("two gangs do not starve each other", "[reservation]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.open_worker("w2", {4000, 1024, 0});
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, half, 4));
    REQUIRE(env.decide(0).placements.size() == 4);
    env.sched->enqueue(fixture::job("g1", "north", work_class::gang, half, 4));
    env.sched->enqueue(fixture::job("g2", "south", work_class::gang, half, 4));
    CHECK(env.decide(5'000).placements.empty());
    for (std::uint32_t index = 0; index < 4; ++index)
    {
        env.end("b", index);
    }
    decisions first = env.decide(6'000);
    REQUIRE(first.placements.size() == 4);
    std::string ran = first.placements.front().task.job.str();
    for (std::uint32_t index = 0; index < 4; ++index)
    {
        env.end(ran, index);
    }
    CHECK(count_of(env.decide(7'000), ran == "g1" ? "g2" : "g1") == 4);
}

TEST_CASE("short learnt work backfills, unknown work does not", "[reservation]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    task_end short_run;
    short_run.ran = milliseconds(1'000);
    for (int run = 0; run < 6; ++run)
    {
        auto job = fixture::job("t", "south", work_class::batch, small, 1);
        job.name = "short";
        env.sched->enqueue(job);
        REQUIRE(env.decide(0).placements.size() == 1);
        env.end("t", 0, short_run);
    }
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, half, 1));
    REQUIRE(env.decide(0).placements.size() == 1);
    env.sched->enqueue(fixture::job("g", "north", work_class::gang, half, 2));
    REQUIRE(env.decide(5'000).placements.empty());
    env.sched->enqueue(
        fixture::job("unknown", "south", work_class::batch, small, 1));
    CHECK(env.decide(6'000).placements.empty());
    auto known = fixture::job("known", "south", work_class::batch, small, 1);
    known.name = "short";
    env.sched->enqueue(known);
    CHECK(count_of(env.decide(7'000), "known") == 1);
}

TEST_CASE("a task of the size of a worker is not starved", "[reservation]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.sched->enqueue(
        fixture::job("s", "south", work_class::batch, small, 400));
    // Small tasks end one after the other, so that the worker is never empty
    // unless capacity is reserved.
    std::vector<placement> running = env.decide(0).placements;
    env.sched->enqueue(
        fixture::job("whole", "north", work_class::batch, {4000, 100, 0}, 1));
    bool placed = false;
    for (std::int64_t now = 1'000; now < 200'000 && !placed; now += 1'000)
    {
        if (!running.empty())
        {
            task_end ended;
            ended.ran = milliseconds(8'000);
            env.end(
                running.front().task.job.str(),
                running.front().task.index,
                ended);
            running.erase(running.begin());
        }
        decisions decided = env.decide(now);
        placed = count_of(decided, "whole") == 1;
        running.insert(
            running.end(),
            decided.placements.begin(),
            decided.placements.end());
    }
    CHECK(placed);
}

TEST_CASE("a reservation ends with its job", "[reservation]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, half, 1));
    REQUIRE(env.decide(0).placements.size() == 1);
    env.sched->enqueue(fixture::job("g", "north", work_class::gang, half, 2));
    REQUIRE(env.decide(5'000).placements.empty());
    env.sched->withdraw(job_id("g"));
    env.sched->enqueue(fixture::job("s", "south", work_class::batch, half, 1));
    CHECK(env.decide(6'000).placements.size() == 1);
}
