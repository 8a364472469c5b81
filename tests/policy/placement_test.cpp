#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using acaciastile::test::fixture;

TEST_CASE("a worker is never given more than it holds", "[placement]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    at.made->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 9));
    CHECK(at.decide().placements.size() == 4);
    CHECK(at.decide().placements.empty());
    at.end("j", 0);
    CHECK(at.decide().placements.size() == 1);
}

TEST_CASE("only open workers are given work", "[placement]")
{
    fixture at;
    at.made->set_worker(fixture::entry("w1", {4000, 1024, 0}));
    at.made->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 1));
    CHECK(at.decide().placements.empty());
    at.made->set_worker_state(worker_id("w1"), worker_state::open);
    CHECK(at.decide().placements.size() == 1);
}

TEST_CASE("a removed worker gets nothing and its tasks still count", "[worker]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    at.made->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 2));
    REQUIRE(at.decide(0, 1).placements.size() == 1);
    at.made->remove_worker(worker_id("w1"));
    CHECK(at.decide().placements.empty());
    CHECK(at.made->usage_of(team_name("north")).milli_processors == 1000);
    at.end("j", 0);
    CHECK(at.made->usage_of(team_name("north")).is_zero());
}

TEST_CASE("a team stays within its allowance", "[allowance]")
{
    fixture at;
    at.open_worker("w1", {16000, 65536, 0});
    at.made->set_allowance(team_name("north"), {3000, 65536, 0});
    at.made->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 9));
    CHECK(at.decide().placements.size() == 3);
    CHECK(at.made->explain(job_id("j"))->reason == "limit");
}

TEST_CASE("a team without an allowance places nothing", "[allowance]")
{
    fixture at;
    at.open_worker("w1", {16000, 65536, 0});
    at.made->enqueue(
        fixture::job("j", "west", work_class::batch, {1000, 100, 0}, 1));
    CHECK(at.decide().placements.empty());
}

TEST_CASE("urgent goes first, then status, then the others", "[order]")
{
    fixture at;
    at.open_worker("w1", {1000, 1024, 0});
    const resources one{1000, 100, 0};
    at.made->enqueue(fixture::job("b", "north", work_class::batch, one, 1, 1));
    at.made->enqueue(fixture::job("s", "north", work_class::status, one, 1, 2));
    at.made->enqueue(fixture::job("u", "south", work_class::urgent, one, 1, 3));
    CHECK(at.decide(3).placements.at(0).task.job == job_id("u"));
    at.end("u", 0);
    CHECK(at.decide(4).placements.at(0).task.job == job_id("s"));
    at.end("s", 0);
    CHECK(at.decide(5).placements.at(0).task.job == job_id("b"));
}

TEST_CASE("teams of equal share get equal parts", "[share]")
{
    fixture at;
    at.open_worker("w1", {10000, 65536, 0});
    const resources one{1000, 100, 0};
    at.made->enqueue(fixture::job("n", "north", work_class::batch, one, 50));
    at.made->enqueue(fixture::job("s", "south", work_class::batch, one, 50));
    CHECK(at.decide().placements.size() == 10);
    CHECK(at.made->usage_of(team_name("north")).milli_processors == 5000);
    CHECK(at.made->usage_of(team_name("south")).milli_processors == 5000);
}

TEST_CASE("a gang is placed whole or not at all", "[gang]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    at.open_worker("w2", {4000, 1024, 0});
    const resources two{2000, 100, 0};
    at.made->enqueue(fixture::job("b", "south", work_class::batch, two, 1));
    REQUIRE(at.decide().placements.size() == 1);
    at.made->enqueue(fixture::job("g", "north", work_class::gang, two, 4, 1));
    CHECK(at.decide(1).placements.empty());
    at.end("b", 0);
    CHECK(at.decide(2).placements.size() == 4);
}

TEST_CASE("withdrawn work is not placed", "[withdraw]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    at.made->enqueue(
        fixture::job("j", "north", work_class::batch, {1000, 100, 0}, 2));
    at.made->withdraw(job_id("j"));
    CHECK(at.decide().placements.empty());
    CHECK(at.made->demand_of(team_name("north")).is_zero());
    CHECK_FALSE(at.made->explain(job_id("j")).has_value());
}

TEST_CASE("what runs after a take-over is counted", "[occupy]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    auto job = fixture::job("j", "north", work_class::batch, {3000, 100, 0}, 2);
    at.made->add_running(job, 0, worker_id("w1"));
    at.made->enqueue(job);
    CHECK(at.decide().placements.empty());
    at.end("j", 0);
    auto made = at.decide();
    REQUIRE(made.placements.size() == 1);
    CHECK(made.placements[0].task.index == 1);
}

TEST_CASE("what can never run is refused", "[judge]")
{
    fixture at;
    at.open_worker("w1", {4000, 1024, 0});
    auto large =
        fixture::job("j", "north", work_class::batch, {5000, 100, 0}, 1);
    auto refused = at.made->check_feasible(large);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().code == refusal_code::can_never_run);
    CHECK(refused.error().effect == verdict::not_run);
    at.open_worker("w2", {8000, 1024, 0});
    CHECK(at.made->check_feasible(large).has_value());
    auto gang = fixture::job("g", "north", work_class::gang, {4000, 100, 0}, 4);
    CHECK_FALSE(at.made->check_feasible(gang).has_value());
}
