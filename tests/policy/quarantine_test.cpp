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
    task_end how;
    how.succeeded = false;
    return how;
}

/// Places one task of a new job and ends it, with a failure on the bad worker.
/// A job without a place is withdrawn.
worker_id run_one(fixture& at, int number, const std::string& bad, int now_ms)
{
    std::string id = "j" + std::to_string(number);
    at.made->enqueue(fixture::job(id, "north", work_class::batch, one, 1));
    decisions made = at.decide(now_ms);
    if (made.placements.empty())
    {
        at.made->withdraw(job_id(id));
        return worker_id();
    }
    worker_id where = made.placements.front().worker;
    at.end(id, 0, where.str() == bad ? failure() : task_end{});
    return where;
}

} // namespace

TEST_CASE("a worker that fails everything is kept from work", "[quarantine]")
{
    fixture at;
    at.open_worker("bad", {4000, 1024, 0});
    at.open_worker("good", {8000, 2048, 0});
    int on_bad = 0;
    for (int number = 0; number < 40; ++number)
    {
        on_bad += run_one(at, number, "bad", number) == worker_id("bad");
    }
    CHECK(on_bad >= 1);
    CHECK(on_bad <= 6);
}

TEST_CASE("a quarantined worker is probed with one task", "[quarantine]")
{
    fixture at;
    at.open_worker("bad", {4000, 1024, 0});
    at.open_worker("good", {8000, 2048, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(at, number, "bad", number);
    }
    at.made->enqueue(fixture::job("p", "north", work_class::batch, one, 4));
    decisions made = at.decide(31'000);
    auto on_bad = [](const placement& placed)
    { return placed.worker == worker_id("bad"); };
    auto probe =
        std::find_if(made.placements.begin(), made.placements.end(), on_bad);
    REQUIRE(probe != made.placements.end());
    CHECK(
        std::count_if(made.placements.begin(), made.placements.end(), on_bad) ==
        1);
    at.end("p", probe->task.index);
    at.made->enqueue(fixture::job("q", "north", work_class::batch, one, 4));
    made = at.decide(32'000);
    CHECK(std::any_of(made.placements.begin(), made.placements.end(), on_bad));
}

TEST_CASE("a failed probe doubles the wait", "[quarantine]")
{
    fixture at;
    at.open_worker("bad", {4000, 1024, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(at, number, "bad", 0);
    }
    CHECK(run_one(at, 20, "bad", 29'000).empty());
    CHECK(run_one(at, 21, "bad", 30'000) == worker_id("bad"));
    CHECK(run_one(at, 22, "bad", 89'000).empty());
    CHECK(run_one(at, 23, "bad", 90'000) == worker_id("bad"));
}

TEST_CASE("work that may run once is no probe", "[quarantine]")
{
    fixture at;
    at.open_worker("bad", {4000, 1024, 0});
    for (int number = 0; number < 20; ++number)
    {
        run_one(at, number, "bad", 0);
    }
    auto order = fixture::job("o", "north", work_class::batch, one, 1);
    order.repeatable = false;
    at.made->enqueue(order);
    for (const placement& placed : at.decide(60'000).placements)
    {
        CHECK(placed.task.job != job_id("o"));
    }
}

TEST_CASE("a job that fails everywhere bars no worker", "[quarantine]")
{
    fixture at;
    for (int number = 0; number < 8; ++number)
    {
        at.open_worker("w" + std::to_string(number), {2000, 1024, 0});
    }
    at.made->enqueue(fixture::job("bad", "north", work_class::batch, one, 60));
    for (int round = 0; round < 10; ++round)
    {
        for (const placement& placed : at.decide(round).placements)
        {
            at.end("bad", placed.task.index, failure());
        }
    }
    at.made->withdraw(job_id("bad"));
    at.made->enqueue(fixture::job("j", "south", work_class::batch, one, 16));
    CHECK(at.decide(20).placements.size() == 16);
}
