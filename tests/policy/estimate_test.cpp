#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using acaciastile::test::fixture;

namespace
{

constexpr resources declared{4000, 4096, 0};

rules rules_with_oversubscription()
{
    std::vector<queue_rule> queues = fixture::sample_rules().queues();
    for (queue_rule& queue : queues)
    {
        queue.oversubscribe = queue.policy == work_class::batch;
    }
    return rules::create(fixture::sample_rules().teams(), queues).value();
}

/// Runs six tasks of the name to their end with that peak.
void run_before(fixture& env, const std::string& queue, const resources& peak)
{
    for (int run = 0; run < 6; ++run)
    {
        auto job = fixture::job("t", "north", work_class::batch, declared, 1);
        job.queue = queue_name(queue);
        job.name = "rollup";
        env.sched->enqueue(job);
        REQUIRE(env.decide(0).placements.size() == 1);
        task_end ended;
        ended.ran = milliseconds(1'000);
        ended.peak_usage = peak;
        env.end("t", 0, ended);
    }
}

std::size_t place_many(fixture& env, const std::string& queue)
{
    auto job = fixture::job("many", "north", work_class::batch, declared, 99);
    job.queue = queue_name(queue);
    job.name = "rollup";
    env.sched->enqueue(job);
    std::size_t placed = 0;
    for (std::int64_t now = 1; now < 4; ++now)
    {
        decisions decided = env.decide(now);
        resources sum;
        for (const placement& one : decided.placements)
        {
            CHECK(one.granted.fits_in(declared));
            sum += one.granted;
        }
        CHECK(sum.fits_in({16000, 16384, 0}));
        placed += decided.placements.size();
    }
    return placed;
}

} // namespace

TEST_CASE("declared sizes hold where nothing is learnt", "[estimates]")
{
    fixture env;
    env.open_worker("w1", {16000, 16384, 0});
    CHECK(place_many(env, "batch") == 4);
}

TEST_CASE("a size above the declared one is learnt", "[estimates]")
{
    fixture env;
    env.open_worker("w1", {16000, 16384, 0});
    run_before(env, "batch", {7000, 1000, 0});
    CHECK(place_many(env, "batch") == 2);
}

TEST_CASE("oversubscription needs the setting and the queue", "[estimates]")
{
    fair_scheduler_settings settings;
    settings.oversubscribe = true;
    fixture env;
    env.sched = fair_scheduler::create(settings);
    env.sched->set_rules(rules_with_oversubscription());
    env.sched->set_allowance(team_name("north"), test::wide_allowance);
    env.open_worker("w1", {16000, 16384, 0});
    SECTION("in a queue that allows it")
    {
        run_before(env, "batch", {1000, 1024, 0});
        CHECK(place_many(env, "batch") == 14);
    }
    SECTION("never below a tenth of what was declared")
    {
        run_before(env, "batch", {1, 1, 0});
        CHECK(place_many(env, "batch") == 40);
    }
    SECTION("in a queue that does not")
    {
        run_before(env, "service", {1000, 1024, 0});
        CHECK(place_many(env, "service") == 4);
    }
}

TEST_CASE("measured usage above the size takes room at once", "[estimates]")
{
    fixture env;
    env.open_worker("w1", {16000, 16384, 0});
    env.sched->enqueue(
        fixture::job("a", "north", work_class::batch, declared, 1));
    REQUIRE(env.decide(0).placements.size() == 1);
    env.sched->set_usage({job_id("a"), 0}, {14000, 1024, 0});
    env.sched->enqueue(
        fixture::job("b", "north", work_class::batch, declared, 1));
    CHECK(env.decide(1).placements.empty());
}
