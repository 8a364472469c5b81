#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using acaciastile::test::fixture;

TEST_CASE("a worker is never given more than it holds", "[placement]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.sched->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 9));
    CHECK(env.decide().placements.size() == 4);
    CHECK(env.decide().placements.empty());
    env.end("j", 0);
    CHECK(env.decide().placements.size() == 1);
}

TEST_CASE("only open workers are given work", "[placement]")
{
    fixture env;
    env.sched->set_worker(fixture::entry("w1", {4000, 1024, 0}));
    env.sched->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 1));
    CHECK(env.decide().placements.empty());
    env.sched->set_worker_state(worker_id("w1"), worker_state::open);
    CHECK(env.decide().placements.size() == 1);
}

TEST_CASE("a removed worker gets nothing and its tasks still count", "[worker]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.sched->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 2));
    REQUIRE(env.decide(0, 1).placements.size() == 1);
    env.sched->remove_worker(worker_id("w1"));
    CHECK(env.decide().placements.empty());
    CHECK(env.sched->usage_of(team_name("north")).milli_processors == 1000);
    env.end("j", 0);
    CHECK(env.sched->usage_of(team_name("north")).is_zero());
}

TEST_CASE("a team stays within its allowance", "[allowance]")
{
    fixture env;
    env.open_worker("w1", {16000, 65536, 0});
    env.sched->set_allowance(team_name("north"), {3000, 65536, 0});
    env.sched->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 9));
    CHECK(env.decide().placements.size() == 3);
    CHECK(env.sched->explain(job_id("j"))->reason == "limit");
}

TEST_CASE("a team without an allowance places nothing", "[allowance]")
{
    fixture env;
    env.open_worker("w1", {16000, 65536, 0});
    env.sched->enqueue(
        fixture::job("j", "west", work_class::batch, {1000, 100, 0}, 1));
    CHECK(env.decide().placements.empty());
}

TEST_CASE("urgent goes first, then status, then the others", "[order]")
{
    fixture env;
    env.open_worker("w1", {1000, 1024, 0});
    const resources one{1000, 100, 0};
    env.sched->enqueue(
        fixture::job("b", "north", work_class::batch, one, 1, 1));
    env.sched->enqueue(
        fixture::job("s", "north", work_class::status, one, 1, 2));
    env.sched->enqueue(
        fixture::job("u", "south", work_class::urgent, one, 1, 3));
    CHECK(env.decide(3).placements.at(0).task.job == job_id("u"));
    env.end("u", 0);
    CHECK(env.decide(4).placements.at(0).task.job == job_id("s"));
    env.end("s", 0);
    CHECK(env.decide(5).placements.at(0).task.job == job_id("b"));
}

TEST_CASE("teams of equal share get equal parts", "[share]")
{
    fixture env;
    env.open_worker("w1", {10000, 65536, 0});
    const resources one{1000, 100, 0};
    env.sched->enqueue(fixture::job("n", "north", work_class::batch, one, 50));
    env.sched->enqueue(fixture::job("s", "south", work_class::batch, one, 50));
    CHECK(env.decide().placements.size() == 10);
    CHECK(env.sched->usage_of(team_name("north")).milli_processors == 5000);
    CHECK(env.sched->usage_of(team_name("south")).milli_processors == 5000);
}

TEST_CASE("a gang is placed whole or not at all", "[gang]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.open_worker("w2", {4000, 1024, 0});
    const resources two{2000, 100, 0};
    env.sched->enqueue(fixture::job("b", "south", work_class::batch, two, 1));
    REQUIRE(env.decide().placements.size() == 1);
    env.sched->enqueue(fixture::job("g", "north", work_class::gang, two, 4, 1));
    CHECK(env.decide(1).placements.empty());
    env.end("b", 0);
    CHECK(env.decide(2).placements.size() == 4);
}

TEST_CASE("withdrawn work is not placed", "[withdraw]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    env.sched->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 2));
    env.sched->withdraw(job_id("j"));
    CHECK(env.decide().placements.empty());
    CHECK(env.sched->demand_of(team_name("north")).is_zero());
    CHECK_FALSE(env.sched->explain(job_id("j")).has_value());
}

TEST_CASE("what runs after a take-over is counted", "[occupy]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    auto job = fixture::job("j", "north", work_class::batch, {3000, 100, 0}, 2);
    env.sched->add_running(job, 0, worker_id("w1"));
    env.sched->enqueue(job);
    CHECK(env.decide().placements.empty());
    env.end("j", 0);
    auto decided = env.decide();
    REQUIRE(decided.placements.size() == 1);
    CHECK(decided.placements[0].task.index == 1);
}

TEST_CASE("what can never run is refused", "[judge]")
{
    fixture env;
    env.open_worker("w1", {4000, 1024, 0});
    auto large =
        fixture::job("j", "north", work_class::batch, {5000, 100, 0}, 1);
    auto refused = env.sched->check_feasible(large);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::can_never_run);
    CHECK(refused.error().effect == verdict::not_run);
    env.open_worker("w2", {8000, 1024, 0});
    CHECK(env.sched->check_feasible(large).has_value());
    auto gang = fixture::job("g", "north", work_class::gang, {4000, 100, 0}, 4);
    CHECK_FALSE(env.sched->check_feasible(gang).has_value());
}
