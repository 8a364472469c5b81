#include "codec/record_codec.hpp"
#include "support/capacity_measures.hpp"
#include "support/growing_cell.hpp"
#include "support/letter_size.hpp"
#include "support/resource_use.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace acaciastile::bench
{

namespace
{

/// Fills the window of record ids, which grows to a bound of its own.
void fill_id_window(growing_cell& cell)
{
    constexpr int records = 100'000;
    for (int n = 0; n < records; ++n)
    {
        cell.fold(key_withdrawn{key_id("none")});
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
                    cell.fold(key_granted{generate_key(n, letter::teams)});
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

capacity_series id_state()
{
    auto made = series(
        "state: ids of records",
        "bytes",
        "ids",
        static_cast<double>(record_id_window::capacity));
    for (std::size_t ids : {16'000, 32'000, 64'000})
    {
        const double bytes = state_bytes(
            [ids](growing_cell& cell)
            {
                for (std::size_t n = 0; n < ids; ++n)
                {
                    cell.fold(key_withdrawn{key_id("none")});
                }
            });
        made.points.push_back({static_cast<double>(ids), bytes});
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
        cell.fold(key_granted{generate_key(n, letter::teams)});
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

/// A change of some workers in an inventory of the letter's size.
void add_changed_workers(std::vector<capacity_series>& all)
{
    auto bytes = series("record: workers changed", "bytes", "changed", 10);
    auto time = series("fold: workers changed", "ms", "changed", 10);
    growing_cell cell;
    const revision base =
        cell.fold(inventory_published{0, make_inventory(letter::workers)})
            .in_force;
    for (std::size_t count : {1, 10, 100, 1'000})
    {
        inventory_changed change{base, make_workers(count), {}};
        for (worker_entry& entry : change.set)
        {
            entry.capacity.milli_processors += 1'000;
        }
        const std::string encoded =
            encode(cell_record{make_record_id(1'000'000 + count), change});
        double least = 1e9;
        for (int again = 0; again < 3; ++again)
        {
            cell_state state = cell.state;
            const cell_record read = decode_cell_record(encoded).value();
            const double seconds =
                cpu_seconds([&] { state.apply(cell.at + 1, read); }, 1);
            least = std::min(least, seconds);
        }
        const auto size = static_cast<double>(count);
        bytes.points.push_back({size, static_cast<double>(encoded.size())});
        time.points.push_back({size, least * 1e3});
    }
    all.push_back(std::move(bytes));
    all.push_back(std::move(time));
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
    add_changed_workers(all);
    for (auto* one :
         {&inventory_bytes, &inventory_time, &rules_bytes, &rules_time})
    {
        all.push_back(std::move(*one));
    }
}

} // namespace

std::vector<capacity_series> measure_log_reader()
{
    std::vector<capacity_series> all;
    all.push_back(inventory_state());
    all.push_back(key_state());
    all.push_back(allowance_state());
    all.push_back(id_state());
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
        [](std::size_t n)
        { return key_granted{generate_key(n, letter::teams)}; }));
    all.push_back(record_bytes("allowance", some_allowance(7)));
    all.push_back(record_bytes(
        "key granted", key_granted{generate_key(7, letter::teams)}));
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

} // namespace acaciastile::bench
