#include "cell/allowance_planner.hpp"
#include "cell/shard_map.hpp"
#include "support/capacity_measures.hpp"
#include "support/fakes/allowance_simulation.hpp"
#include "support/growing_cell.hpp"
#include "support/letter_size.hpp"
#include "support/membership_load.hpp"
#include "support/resource_use.hpp"

#include <utility>

namespace acaciastile::bench
{

namespace
{

/// Time of one round of the planner where a tenth of the teams is active.
capacity_series plan_time()
{
    capacity_series made{
        "owner", "allowance plan, a round", "us", "teams", letter::teams, {}};
    for (std::size_t teams : {163, 325, 650})
    {
        growing_cell cell;
        cell.fold(rules_published{0, make_rules(teams)});
        hold_allowances(cell, letter::shards, 20);
        auto planner = allowance_planner::create(make_shard(0), 2, {});
        std::map<team_name, team_load> loads;
        for (std::size_t n = 0; n < teams; n += 10)
        {
            loads[make_team(n)] = {{2'000, 4'096, 0}, {2'000, 4'096, 0}, {}};
        }
        constexpr int rounds = 200;
        instant now{};
        const double seconds = cpu_seconds(
            [&]
            {
                for (int n = 0; n < rounds; ++n)
                {
                    now += milliseconds{250};
                    (void)planner.plan(now, cell.state, loads);
                }
            });
        made.points.push_back(
            {static_cast<double>(teams), seconds * 1e6 / rounds});
    }
    return made;
}

/// Records until a team's demand has moved from half of the shards to the
/// other half, the limit being taken up whole.
capacity_series shift_records()
{
    capacity_series made{
        "owner",
        "records of a demand shift",
        "records",
        "shards",
        letter::shards,
        {}};
    const resources each{1'000, 2'048, 0};
    const team_name team = make_team(1);
    constexpr std::size_t tasks_a_shard = 10;
    for (std::size_t shards : {16, 48, 96, 192})
    {
        testing::allowance_simulation_settings settings;
        settings.shards = shards;
        settings.replicas = 4;
        const auto tasks =
            static_cast<std::int64_t>(shards * tasks_a_shard / 2);
        testing::allowance_simulation world(
            1, settings, {{team, 1, each * tasks}});
        for (std::size_t n = 0; n < shards / 2; ++n)
        {
            world.enqueue(n, team, each, tasks_a_shard, std::chrono::hours{10});
        }
        world.run_for(std::chrono::seconds{40});
        const std::size_t before = world.records();
        for (std::size_t n = 0; n < shards / 2; ++n)
        {
            world.end_tasks(n, team);
            world.enqueue(
                n + shards / 2,
                team,
                each,
                tasks_a_shard,
                std::chrono::hours{10});
        }
        world.run_for(std::chrono::seconds{60});
        made.points.push_back(
            {static_cast<double>(shards),
             static_cast<double>(world.records() - before)});
    }
    return made;
}

std::vector<member> make_members(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t n = 0; n < count; ++n)
    {
        member one;
        one.id = instance_id("entry-vm-" + std::to_string(n));
        one.data_centre = data_centre_name(
            "region-1-dc" + std::to_string(n % letter::data_centres));
        one.address = "10.0.0.1:" + std::to_string(n);
        members.push_back(one);
    }
    return members;
}

} // namespace

std::vector<capacity_series> measure_member_role()
{
    auto make = [](std::string cost, std::string unit)
    {
        return capacity_series{
            "member",
            std::move(cost),
            std::move(unit),
            "members",
            letter::instances,
            {}};
    };
    auto bytes = make("bodies sent", "bytes/s");
    auto messages = make("messages sent", "1/s");
    auto cpu = make("processor time", "us/s");
    auto detection = make("death seen, median", "s");
    auto latest = make("death seen, latest", "s");
    auto join = make("all start: lists full after", "s");
    auto heal = make("cut healed: lists full after", "s");
    auto heal_bytes = make("bodies sent while healing", "bytes/s");
    for (std::size_t members : {9, 18, 81, 216})
    {
        const membership_cost cost = measure_membership(members, 1);
        const auto size = static_cast<double>(members);
        auto seconds = [](milliseconds time)
        { return static_cast<double>(time.count()) / 1e3; };
        bytes.points.push_back({size, cost.bytes_per_second});
        messages.points.push_back({size, cost.messages_per_second});
        cpu.points.push_back({size, cost.cpu_per_second * 1e6});
        detection.points.push_back({size, seconds(cost.detection_median)});
        latest.points.push_back({size, seconds(cost.detection_most)});
        join.points.push_back({size, seconds(cost.join)});
        heal.points.push_back({size, seconds(cost.heal)});
        heal_bytes.points.push_back({size, cost.heal_bytes_per_second});
    }
    return {bytes, messages, cpu, detection, latest, join, heal, heal_bytes};
}

std::vector<capacity_series> measure_shard_map()
{
    auto make = [](std::string cost, std::string unit)
    {
        return capacity_series{
            "shard map",
            std::move(cost),
            std::move(unit),
            "workers",
            letter::workers,
            {}};
    };
    auto time = make("build", "ms");
    auto memory = make("state", "bytes");
    auto owners = make("assign owners", "us");
    const auto members = make_members(letter::instances);
    for (std::size_t workers : {5'750, 11'500, 23'000})
    {
        const inventory listed = make_inventory(workers);
        const auto size = static_cast<double>(workers);
        const double seconds = cpu_seconds(
            [&] {
                (void)shard_map::create(
                    listed, shard_map::default_shard_workers);
            });
        time.points.push_back({size, seconds * 1e3});
        const double before = heap_in_use();
        const shard_map map =
            shard_map::create(listed, shard_map::default_shard_workers);
        memory.points.push_back({size, heap_in_use() - before});
        const double assign =
            cpu_seconds([&] { (void)preferred_owners(map, members); });
        owners.points.push_back({size, assign * 1e6});
    }
    return {time, memory, owners};
}

std::vector<capacity_series> measure_allowances()
{
    return {plan_time(), shift_records()};
}

} // namespace acaciastile::bench
