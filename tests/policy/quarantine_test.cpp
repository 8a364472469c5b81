#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciastile;
using acaciastile::test::fixture;

namespace
{

constexpr resources one{1000, 100, 0};

task_end failure()
{
    task_end ended;
    ended.succeeded = false;
    return ended;
}

/// Places one task of a new job and ends it, with a failure on the bad worker.
/// A job without a place is withdrawn.
worker_id run_one(fixture& env, int number, const std::string& bad, int now_ms)
{
    std::string id = "j" + std::to_string(number);
    env.sched->enqueue(fixture::job(id, "north", work_class::batch, one, 1));
    decisions decided = env.decide(now_ms);
    if (decided.placements.empty())
    {
        env.sched->withdraw(job_id(id));
        return worker_id();
    }
    worker_id where = decided.placements.front().worker;
    env.end(id, 0, where.str() == bad ? failure() : task_end{});
    return where;
}

} // namespace

TEST_CASE("a worker that fails everything is kept from work", "[quarantine]")
{
    fixture env;
    env.open_worker("bad", {4000, 1024, 0});
    env.open_worker("good", {8000, 2048, 0});
    int on_bad = 0;
    for (int number = 0; number < 40; ++number)
    {
        on_bad += run_one(env, number, "bad", number) == worker_id("bad");
    }
    CHECK(on_bad >= 1);
    CHECK(on_bad <= 6);
}

TEST_CASE("a quarantined worker is probed with one task", "[quarantine]")
{
    fixture env;
    env.open_worker("bad", {4000, 1024, 0});
    env.open_worker("good", {8000, 2048, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(env, number, "bad", number);
    }
    env.sched->enqueue(fixture::job("p", "north", work_class::batch, one, 4));
    decisions decided = env.decide(31'000);
    auto on_bad = [](const placement& placed)
    { return placed.worker == worker_id("bad"); };
    auto probe = std::find_if(
        decided.placements.begin(), decided.placements.end(), on_bad);
    REQUIRE(probe != decided.placements.end());
    CHECK(
        std::count_if(
            decided.placements.begin(), decided.placements.end(), on_bad) == 1);
    env.end("p", probe->task.index);
    env.sched->enqueue(fixture::job("q", "north", work_class::batch, one, 4));
    decided = env.decide(32'000);
    CHECK(std::any_of(
        decided.placements.begin(), decided.placements.end(), on_bad));
}

TEST_CASE("a failed probe doubles the wait", "[quarantine]")
{
    fixture env;
    env.open_worker("bad", {4000, 1024, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(env, number, "bad", 0);
    }
    CHECK(run_one(env, 20, "bad", 29'000).empty());
    CHECK(run_one(env, 21, "bad", 30'000) == worker_id("bad"));
    CHECK(run_one(env, 22, "bad", 89'000).empty());
    CHECK(run_one(env, 23, "bad", 90'000) == worker_id("bad"));
}

TEST_CASE("work that may run once is no probe", "[quarantine]")
{
    fixture env;
    env.open_worker("bad", {4000, 1024, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(env, number, "bad", 0);
    }
    auto order = fixture::job("o", "north", work_class::batch, one, 1);
    order.repeatable = false;
    env.sched->enqueue(order);
    for (const placement& placed : env.decide(60'000).placements)
    {
        CHECK(placed.task.job != job_id("o"));
    }
}

TEST_CASE("a job that fails everywhere bars no worker", "[quarantine]")
{
    fixture env;
    for (int number = 0; number < 8; ++number)
    {
        env.open_worker("w" + std::to_string(number), {2000, 1024, 0});
    }
    env.sched->enqueue(
        fixture::job("bad", "north", work_class::batch, one, 60));
    for (int round = 0; round < 10; ++round)
    {
        for (const placement& placed : env.decide(round).placements)
        {
            env.end("bad", placed.task.index, failure());
        }
    }
    env.sched->withdraw(job_id("bad"));
    env.sched->enqueue(fixture::job("j", "south", work_class::batch, one, 16));
    CHECK(env.decide(20).placements.size() == 16);
}
