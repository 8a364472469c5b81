#include "cell/allowance_planner.hpp"

#include "support/fakes/allowance_simulation.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace acaciastile;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::allowance_simulation;
using testing::allowance_simulation_settings;

namespace
{

const team_name planning{"planning"};
const resources one_task{1'000, 2'048, 0};
constexpr milliseconds unlimited_run_time = std::chrono::hours{1'000};

std::vector<team_rule> team_with(std::int64_t tasks)
{
    return {{planning, 1, one_task * tasks}};
}

std::int64_t tasks_in(const resources& amount)
{
    return amount.milli_processors / one_task.milli_processors;
}

} // namespace

TEST_CASE("a small demand is met by one raise", "[allowance]")
{
    allowance_simulation simulation(1, {}, team_with(100));
    const std::size_t before = simulation.records();
    simulation.enqueue(0, planning, one_task, 5, unlimited_run_time);
    simulation.run_for(milliseconds{800});
    CHECK(tasks_in(simulation.running(0, planning)) == 5);
    CHECK(simulation.records() - before <= 1);
}

TEST_CASE("a large demand is met by doubling", "[allowance]")
{
    allowance_simulation simulation(2, {}, team_with(1'000));
    const std::size_t before = simulation.records();
    simulation.enqueue(0, planning, one_task, 900, unlimited_run_time);
    simulation.run_for(seconds{5});
    CHECK(tasks_in(simulation.running(0, planning)) == 900);
    CHECK(simulation.records() - before <= 6);
}

TEST_CASE("idle allowance goes to the shard that needs it", "[allowance]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        allowance_simulation simulation(seed, {}, team_with(100));
        simulation.enqueue(0, planning, one_task, 100, unlimited_run_time);
        simulation.run_for(seconds{10});
        REQUIRE(tasks_in(simulation.running(0, planning)) == 100);
        simulation.end_tasks(0, planning);
        simulation.enqueue(3, planning, one_task, 100, unlimited_run_time);
        const std::size_t before = simulation.records();
        simulation.run_for(seconds{15});
        CHECK(tasks_in(simulation.running(3, planning)) == 100);
        CHECK(simulation.records() - before <= 20);
    }
}

TEST_CASE(
    "allowance follows demand from one half of the shards to the other",
    "[allowance]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        allowance_simulation_settings settings;
        settings.shards = 48;
        allowance_simulation simulation(seed, settings, team_with(240));
        for (std::size_t shard = 0; shard < 24; ++shard)
        {
            simulation.enqueue(
                shard, planning, one_task, 10, unlimited_run_time);
        }
        simulation.run_for(seconds{40});
        REQUIRE(tasks_in(simulation.running(planning)) == 240);
        for (std::size_t shard = 0; shard < 24; ++shard)
        {
            simulation.end_tasks(shard, planning);
            simulation.enqueue(
                shard + 24, planning, one_task, 10, unlimited_run_time);
        }
        const std::size_t before = simulation.records();
        simulation.run_for(seconds{15});
        INFO("seed " << seed);
        CHECK(tasks_in(simulation.running(planning)) == 240);
        CHECK(simulation.records() - before <= 10 * 48);
    }
}

TEST_CASE(
    "idle allowance that no shard wants is cut to keep a reserve",
    "[allowance]")
{
    allowance_simulation simulation(3, {}, team_with(64));
    simulation.enqueue(0, planning, one_task, 64, seconds{1});
    simulation.run_for(seconds{12});
    simulation.run_for(minutes{2});
    CHECK(
        tasks_in(simulation.authoritative_state().allowance_sum(planning)) <=
        56);
    const std::size_t settled = simulation.records();
    simulation.run_for(minutes{5});
    CHECK(simulation.records() == settled);
}

TEST_CASE(
    "busy shards converge to shares in proportion to their demand",
    "[allowance]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
    {
        allowance_simulation simulation(seed, {}, team_with(100));
        simulation.enqueue(0, planning, one_task, 10'000, seconds{2});
        simulation.run_for(seconds{30});
        simulation.enqueue(1, planning, one_task, 10'000, seconds{2});
        simulation.enqueue(2, planning, one_task, 50, unlimited_run_time);
        simulation.run_for(minutes{2});
        const auto first = tasks_in(simulation.allowance(0, planning));
        const auto second = tasks_in(simulation.allowance(1, planning));
        const auto third = tasks_in(simulation.allowance(2, planning));
        INFO("seed " << seed << ": " << first << " " << second << " " << third);
        // Needs of 100, 100 and 50 within a limit of 100: 40, 40, 20.
        CHECK(std::abs(first - 40) <= 10);
        CHECK(std::abs(second - 40) <= 10);
        CHECK(std::abs(third - 20) <= 8);
        CHECK(simulation.breaches() == 0);
    }
}

TEST_CASE(
    "no shard starves if the limit has fewer tasks than shards", "[allowance]")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        allowance_simulation_settings settings;
        settings.shards = 12;
        settings.replicas = 6;
        allowance_simulation simulation(seed, settings, team_with(3));
        for (std::size_t shard = 0; shard < 12; ++shard)
        {
            simulation.enqueue(shard, planning, one_task, 300, seconds{1});
        }
        simulation.run_for(minutes{10});
        for (std::size_t shard = 0; shard < 12; ++shard)
        {
            INFO("seed " << seed << " shard " << shard);
            CHECK(simulation.started(shard, planning) >= 20);
        }
        CHECK(tasks_in(simulation.running(planning)) <= 3);
        WARN(
            "seed " << seed << ": starts " << simulation.starts()
                    << " of 1800, records " << simulation.records());
    }
}

TEST_CASE(
    "a lowered limit stops starts at once and running tasks later",
    "[allowance]")
{
    allowance_simulation simulation(4, {}, team_with(100));
    simulation.enqueue(0, planning, one_task, 60, unlimited_run_time);
    simulation.run_for(seconds{5});
    simulation.enqueue(1, planning, one_task, 40, unlimited_run_time);
    simulation.run_for(seconds{15});
    REQUIRE(tasks_in(simulation.running(planning)) == 100);
    simulation.enqueue(0, planning, one_task, 100, unlimited_run_time);
    const std::uint64_t started = simulation.starts();
    simulation.set_limit(planning, one_task * 50);
    simulation.run_for(seconds{4});
    CHECK(tasks_in(simulation.running(planning)) == 100);
    CHECK(simulation.starts() == started);
    simulation.run_for(seconds{6});
    CHECK(tasks_in(simulation.running(planning)) <= 50);
    CHECK(
        tasks_in(simulation.authoritative_state().allowance_sum(planning)) <=
        50);
    CHECK(tasks_in(simulation.running(0, planning)) == 30);
    CHECK(tasks_in(simulation.running(1, planning)) == 20);
}

TEST_CASE(
    "a removed team loses its allowances and running tasks", "[allowance]")
{
    allowance_simulation simulation(5, {}, team_with(10));
    simulation.enqueue(0, planning, one_task, 10, unlimited_run_time);
    simulation.run_for(seconds{5});
    simulation.set_limit(planning, {});
    simulation.run_for(seconds{15});
    CHECK(simulation.running(planning).is_zero());
    CHECK(simulation.authoritative_state().allowance_sum(planning).is_zero());
}

TEST_CASE("a new epoch inherits the allowance of the lost owner", "[allowance]")
{
    allowance_simulation simulation(6, {}, team_with(20));
    simulation.enqueue(0, planning, one_task, 20, unlimited_run_time);
    simulation.run_for(seconds{5});
    simulation.lose_owner(0);
    simulation.enqueue(1, planning, one_task, 20, unlimited_run_time);
    simulation.run_for(seconds{2});
    CHECK(tasks_in(simulation.allowance(0, planning)) == 20);
    simulation.run_for(seconds{20});
    CHECK(tasks_in(simulation.running(planning)) == 20);
    CHECK(simulation.breaches() == 0);
}

TEST_CASE("no records are written in a steady state", "[allowance]")
{
    allowance_simulation simulation(7, {}, team_with(100));
    simulation.enqueue(0, planning, one_task, 70, unlimited_run_time);
    simulation.enqueue(1, planning, one_task, 70, unlimited_run_time);
    simulation.run_for(minutes{1});
    const std::size_t before = simulation.records();
    simulation.run_for(minutes{10});
    CHECK(simulation.records() == before);
}

TEST_CASE("a cut with an unknown outcome is binding", "[allowance]")
{
    cell_state cell;
    const shard_id shard{"dc/0"};
    const shard_id other{"dc/1"};
    log_offset at = 0;
    auto apply = [&](cell_change change)
    {
        ++at;
        return cell.apply(at, {std::to_string(at), std::move(change)});
    };
    apply(rules_published{0, rules::create(team_with(10), {}).value()});
    apply(shard_claimed{shard, instance_id("a"), "", 0});
    apply(shard_claimed{other, instance_id("b"), "", 0});
    REQUIRE(apply(allowance_set{shard, 2, planning, one_task * 10}).accepted());
    apply(allowance_wanted{other, 3, planning, one_task * 4});
    auto planner = allowance_planner::create(shard, 2, {});
    std::vector<cell_change> written;
    instant now{};
    while (written.empty() && now < instant(seconds{20}))
    {
        now += milliseconds{100};
        written = planner.plan(now, cell, {}).records;
    }
    REQUIRE(written.size() == 1);
    const auto cut = std::get<allowance_set>(written.front());
    CHECK(cut.amount == one_task * 6);
    planner.settled(written.front(), verdict::may_have_run);

    // Demand comes back while the outcome of the cut is unknown.
    std::map<team_name, team_load> loads;
    loads[planning] = {{}, one_task * 10, one_task};
    for (int round = 0; round < 1'000; ++round)
    {
        now += milliseconds{100};
        const auto plan = planner.plan(now, cell, loads);
        REQUIRE(plan.bounds.at(planning) == one_task * 6);
        REQUIRE(plan.records.empty());
    }
    SECTION("the cut is known never to reach the log")
    {
        apply(allowance_wanted{other, 3, planning, {}});
        planner.settled(written.front(), verdict::not_run);
        const auto plan = planner.plan(now, cell, loads);
        CHECK(plan.bounds.at(planning) == one_task * 10);
    }
    SECTION("the cut reaches the log")
    {
        apply(cut);
        const auto plan = planner.plan(now, cell, loads);
        CHECK(plan.bounds.at(planning) == one_task * 6);
    }
}

TEST_CASE("no order of events exceeds a limit", "[allowance][property]")
{
    std::size_t records = 0;
    std::size_t refused = 0;
    std::uint64_t starts = 0;
    std::uint64_t losses = 0;
    constexpr std::uint64_t seeds = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        std::mt19937_64 random(seed);
        allowance_simulation_settings settings;
        settings.shards = 2 + random() % 6;
        settings.replicas = settings.shards;
        settings.drop_probability = 0.1;
        settings.outcome_unknown_probability = 0.1;
        const std::int64_t limit = 1 + static_cast<std::int64_t>(random() % 40);
        allowance_simulation simulation(seed, settings, team_with(limit));
        for (int step = 0; step < 400; ++step)
        {
            const std::size_t shard = random() % settings.shards;
            switch (random() % 6)
            {
            case 0:
                simulation.enqueue(
                    shard,
                    planning,
                    one_task * (1 + static_cast<std::int64_t>(random() % 3)),
                    random() % 30,
                    milliseconds{random() % 20'000});
                break;
            case 1:
                simulation.clear_queue(shard, planning);
                break;
            case 2:
                if (random() % 10 == 0)
                {
                    simulation.lose_owner(shard);
                    ++losses;
                }
                break;
            case 3:
                simulation.end_tasks(shard, planning);
                break;
            default:
                break;
            }
            simulation.run_for(milliseconds{100 * (1 + random() % 5)});
            const resources bound = one_task * limit;
            INFO("seed " << seed << " step " << step);
            REQUIRE(simulation.authoritative_state()
                        .allowance_sum(planning)
                        .fits_in(bound));
            REQUIRE(simulation.running(planning).fits_in(bound));
            REQUIRE(simulation.breaches() == 0);
        }
        records += simulation.records();
        refused += simulation.refused();
        starts += simulation.starts();
    }
    WARN(
        "seeds 1.." << seeds << ": " << starts << " starts, " << records
                    << " records, " << refused << " refused, " << losses
                    << " owners lost");
}

TEST_CASE(
    "all queued tasks run after failures and limit changes",
    "[allowance][property]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        std::mt19937_64 random(seed);
        allowance_simulation_settings settings;
        settings.drop_probability = 0.2;
        allowance_simulation simulation(seed, settings, team_with(20));
        for (int step = 0; step < 100; ++step)
        {
            const std::size_t shard = random() % settings.shards;
            simulation.enqueue(
                shard, planning, one_task, random() % 20, seconds{3});
            if (random() % 20 == 0)
            {
                simulation.lose_owner(shard);
            }
            if (random() % 10 == 0)
            {
                simulation.set_limit(
                    planning,
                    one_task * (1 + static_cast<std::int64_t>(random() % 20)));
            }
            simulation.run_for(milliseconds{500});
        }
        simulation.set_limit(planning, one_task * 20);
        simulation.run_for(minutes{20});
        INFO("seed " << seed);
        CHECK(simulation.running(planning).is_zero());
        for (std::size_t shard = 0; shard < settings.shards; ++shard)
        {
            // All queued tasks have run, so one more a shard can start.
            simulation.enqueue(shard, planning, one_task, 1, seconds{1});
        }
        const std::uint64_t before = simulation.starts();
        simulation.run_for(minutes{1});
        CHECK(simulation.starts() == before + settings.shards);
    }
}
