#include "cell/allowance_planner.hpp"
#include "cell/cell_state.hpp"
#include "cell/shard_map.hpp"
#include "codec/record_codec.hpp"
#include "support/capacity_measures.hpp"
#include "support/fakes/allowance_world.hpp"
#include "support/letter_content.hpp"
#include "support/letter_size.hpp"
#include "support/membership_load.hpp"
#include "support/resource_use.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace acaciastile::bench
{

namespace
{

/// A fold together with the offset of its last record.
struct growing_cell
{
    cell_state state;
    log_offset at = 0;

    fold_outcome fold(cell_change change)
    {
        ++at;
        return state.apply(at, {make_record_id(at), std::move(change)});
    }
};

/// Fills the window of record ids, which grows to a bound of its own.
void fill_id_window(growing_cell& cell)
{
    constexpr int records = 100'000;
    for (int n = 0; n < records; ++n)
    {
        cell.fold(key_withdrawn{key_id("none")});
    }
}

/// Claims shards and lets each hold an allowance for some teams.
void hold_allowances(
    growing_cell& cell, std::size_t shards, std::size_t teams_each)
{
    for (std::size_t n = 0; n < shards; ++n)
    {
        const shard_epoch epoch = cell.fold(shard_claimed{
                                                make_shard(n),
                                                instance_id("entry-vm-0001.7"),
                                                "10.0.0.1:7000",
                                                0})
                                      .in_force;
        for (std::size_t held = 0; held < teams_each; ++held)
        {
            const team_name team = make_team((n + held * 16) % letter::teams);
            cell.fold(
                allowance_set{make_shard(n), epoch, team, {8'000, 16'384, 1}});
        }
    }
}

/// Heap that a cell takes beyond one without the given content.
double state_bytes(const std::function<void(growing_cell&)>& fill)
{
    auto cell = std::make_unique<growing_cell>();
    cell->fold(rules_published{0, make_rules(letter::teams)});
    const double before = heap_in_use();
    fill(*cell);
    return heap_in_use() - before;
}

capacity_series
series(std::string cost, std::string unit, std::string per, double size)
{
    return {
        "log reader",
        std::move(cost),
        std::move(unit),
        std::move(per),
        size,
        {}};
}

capacity_series inventory_state()
{
    auto made = series("state", "bytes", "workers", letter::workers);
    for (std::size_t workers : {2'875, 5'750, 11'500, 23'000})
    {
        const double bytes = state_bytes(
            [workers](growing_cell& cell) {
                cell.fold(inventory_published{0, make_inventory(workers)});
            });
        made.points.push_back({static_cast<double>(workers), bytes});
    }
    return made;
}

capacity_series key_state()
{
    auto made = series("state", "bytes", "keys", letter::keys);
    for (std::size_t keys : {250, 500, 1'000, 2'000})
    {
        const double bytes = state_bytes(
            [keys](growing_cell& cell)
            {
                for (std::size_t n = 0; n < keys; ++n)
                {
                    cell.fold(key_granted{make_key(n, letter::teams)});
                }
            });
        made.points.push_back({static_cast<double>(keys), bytes});
    }
    return made;
}

capacity_series allowance_state()
{
    constexpr std::size_t teams_each = 100;
    auto made =
        series("state", "bytes", "allowances", letter::shards * teams_each);
    for (std::size_t shards : {24, 48, 96, 192})
    {
        const double bytes =
            state_bytes([shards](growing_cell& cell)
                        { hold_allowances(cell, shards, teams_each); });
        made.points.push_back(
            {static_cast<double>(shards * teams_each), bytes});
    }
    return made;
}

/// Bytes and times of a snapshot of a cell with that many workers and the
/// letter's keys and allowances.
void add_snapshot(
    std::size_t workers, capacity_series& bytes, capacity_series& seconds)
{
    growing_cell cell;
    cell.fold(rules_published{0, make_rules(letter::teams)});
    cell.fold(inventory_published{0, make_inventory(workers)});
    for (std::size_t n = 0; n < letter::keys; ++n)
    {
        cell.fold(key_granted{make_key(n, letter::teams)});
    }
    hold_allowances(cell, letter::shards, 100);
    fill_id_window(cell);
    std::string encoded;
    const double write =
        cpu_seconds([&] { encoded = cell.state.to_snapshot(); });
    const double read = cpu_seconds(
        [&] { (void)cell_state::from_snapshot(encoded).has_value(); });
    const auto size = static_cast<double>(workers);
    bytes.points.push_back({size, static_cast<double>(encoded.size())});
    seconds.points.push_back({size, (write + read) * 1e3});
}

/// Bytes and times of publishing a whole document of that many entries.
void add_document(
    const cell_change& change,
    double size,
    capacity_series& bytes,
    capacity_series& time)
{
    const cell_record record{make_record_id(1), change};
    std::string encoded;
    const double seconds = cpu_seconds(
        [&]
        {
            encoded = encode(record);
            cell_state state;
            state.apply(1, decode_cell_record(encoded).value());
        });
    bytes.points.push_back({size, static_cast<double>(encoded.size())});
    time.points.push_back({size, seconds * 1e3});
}

/// Time of decoding and folding small records, against their number.
capacity_series fold_time(
    std::string name, const std::function<cell_change(std::size_t)>& change)
{
    auto made = series("decode, fold: " + name, "us", "records", 1'000);
    for (std::size_t count : {1'000, 2'000, 4'000})
    {
        std::vector<std::string> encoded;
        for (std::size_t n = 0; n < count; ++n)
        {
            encoded.push_back(
                encode(cell_record{make_record_id(n), change(n)}));
        }
        growing_cell base;
        base.fold(rules_published{0, make_rules(letter::teams)});
        hold_allowances(base, letter::shards, 0);
        const double seconds = cpu_seconds(
            [&]
            {
                cell_state state = base.state;
                log_offset at = base.at;
                for (const std::string& body : encoded)
                {
                    state.apply(++at, decode_cell_record(body).value());
                }
            });
        made.points.push_back({static_cast<double>(count), seconds * 1e6});
    }
    return made;
}

capacity_series record_bytes(std::string name, const cell_change& change)
{
    auto made = series("record: " + name, "bytes", "records", 1);
    const auto bytes = static_cast<double>(
        encode(cell_record{make_record_id(123'456), change}).size());
    made.points = {{1, bytes}, {2, bytes * 2}, {3, bytes * 3}};
    return made;
}

cell_change some_allowance(std::size_t number)
{
    // Claims of the base take offsets 2 to 193.
    const std::size_t shard = number % letter::shards;
    return allowance_set{
        make_shard(shard),
        shard + 2,
        make_team(number % letter::teams),
        {8'000 + static_cast<std::int64_t>(number % 100), 16'384, 0}};
}

void add_documents(std::vector<capacity_series>& all)
{
    auto inventory_bytes =
        series("record: whole inventory", "bytes", "workers", letter::workers);
    auto inventory_time =
        series("fold: whole inventory", "ms", "workers", letter::workers);
    for (std::size_t count : {5'750, 11'500, 23'000})
    {
        add_document(
            inventory_published{0, make_inventory(count)},
            static_cast<double>(count),
            inventory_bytes,
            inventory_time);
    }
    auto rules_bytes =
        series("record: all rules", "bytes", "teams", letter::teams);
    auto rules_time = series("fold: all rules", "ms", "teams", letter::teams);
    for (std::size_t count : {163, 325, 650})
    {
        add_document(
            rules_published{0, make_rules(count)},
            static_cast<double>(count),
            rules_bytes,
            rules_time);
    }
    for (auto* one :
         {&inventory_bytes, &inventory_time, &rules_bytes, &rules_time})
    {
        all.push_back(std::move(*one));
    }
}

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
        testing::allowance_world_settings settings;
        settings.shards = shards;
        settings.readers = 4;
        const auto tasks =
            static_cast<std::int64_t>(shards * tasks_a_shard / 2);
        testing::allowance_world world(1, settings, {{team, 1, each * tasks}});
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

std::vector<capacity_series> measure_log_reader()
{
    std::vector<capacity_series> all;
    all.push_back(inventory_state());
    all.push_back(key_state());
    all.push_back(allowance_state());
    auto bytes = series("snapshot", "bytes", "workers", letter::workers);
    auto time =
        series("snapshot, write and read", "ms", "workers", letter::workers);
    for (std::size_t workers : {5'750, 11'500, 23'000})
    {
        add_snapshot(workers, bytes, time);
    }
    all.push_back(std::move(bytes));
    all.push_back(std::move(time));
    add_documents(all);
    all.push_back(fold_time("allowance", some_allowance));
    all.push_back(fold_time(
        "key",
        [](std::size_t n) { return key_granted{make_key(n, letter::teams)}; }));
    all.push_back(record_bytes("allowance", some_allowance(7)));
    all.push_back(
        record_bytes("key granted", key_granted{make_key(7, letter::teams)}));
    all.push_back(record_bytes(
        "shard claimed",
        shard_claimed{
            make_shard(7),
            instance_id("entry-vm-0001.7"),
            "10.0.0.1:7000",
            4'711}));
    all.push_back(record_bytes(
        "worker drained", workers_drained{{make_worker(12'345).id}, true}));
    return all;
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
