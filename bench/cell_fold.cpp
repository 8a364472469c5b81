// Costs of the log side at the size of the letter: bytes of records, the time
// of the fold, and size and time of a snapshot. Prints bytes as counters.

#include "cell/cell_state.hpp"
#include "codec/document_codec.hpp"
#include "codec/record_codec.hpp"

#include <benchmark/benchmark.h>
#include <cstdint>
#include <fstream>
#include <malloc.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using namespace acaciastile;

constexpr int workers_of_the_cell = 23'000;
constexpr int data_centres = 24;
constexpr int workers_of_a_rack = 6;
constexpr int teams_of_the_cell = 650;
constexpr int keys_of_the_cell = 2'000;
constexpr int shards_of_the_cell = 192;
constexpr int teams_of_a_shard = 40;

std::string hex(std::size_t digits)
{
    return std::string(digits, 'a');
}

worker_entry worker(int number)
{
    const int centre = number % data_centres;
    const int rack = number / (data_centres * workers_of_a_rack);
    worker_entry made;
    made.id = worker_id("worker-" + std::to_string(number));
    made.data_centre = data_centre_name("region-dc" + std::to_string(centre));
    made.rack = rack_name("rack-" + std::to_string(rack));
    made.address = "10.1." + std::to_string(number % 250) + "." +
                   std::to_string(number / 250) + ":7070";
    made.capacity = {32'000, 65'536, number % 4 == 0 ? 8 : 0};
    return made;
}

inventory whole_inventory()
{
    std::vector<worker_entry> list;
    for (int number = 0; number < workers_of_the_cell; ++number)
    {
        list.push_back(worker(number));
    }
    return inventory::create(std::move(list)).value();
}

team_name team(int number)
{
    return team_name("team-" + std::to_string(number));
}

rules whole_rules()
{
    std::vector<team_rule> list;
    for (int number = 0; number < teams_of_the_cell; ++number)
    {
        list.push_back({team(number), 1, {1'000'000'000, 1'000'000'000, 100}});
    }
    return rules::create(std::move(list), {}).value();
}

std::string record_id(std::uint64_t number)
{
    return "e17-3f2a91c0-" + std::to_string(number);
}

shard_id shard(int number)
{
    return shard_id(
        "region-dc" + std::to_string(number % data_centres) + "/" +
        std::to_string(number / data_centres));
}

/// A cell at the size of the letter.
cell_state whole_state()
{
    cell_state state;
    log_offset at = 0;
    auto fold = [&](cell_change change)
    {
        ++at;
        return state.apply(at, {record_id(at), std::move(change)});
    };
    fold(inventory_published{0, whole_inventory()});
    fold(rules_published{0, whole_rules()});
    for (int number = 0; number < keys_of_the_cell; ++number)
    {
        key_id id("key-" + std::to_string(number));
        fold(key_granted{
            {id, team(number % teams_of_the_cell), {}, hex(32), hex(64)}});
    }
    for (int number = 0; number < shards_of_the_cell; ++number)
    {
        const auto epoch =
            fold(shard_claimed{
                     shard(number), instance_id("e1"), "10.0.0.1:7000", 0})
                .in_force;
        for (int held = 0; held < teams_of_a_shard; ++held)
        {
            team_name name = team((number + held * 16) % teams_of_the_cell);
            fold(allowance_set{
                shard(number), epoch, name, {64'000, 128'000, 2}});
        }
    }
    while (at < 2 * record_id_window::capacity)
    {
        fold(key_withdrawn{key_id("none")});
    }
    return state;
}

void encode_record(benchmark::State& run, const shard_change& change)
{
    const shard_record record{record_id(123'456), 98'765, change};
    std::size_t bytes = 0;
    for (auto _ : run)
    {
        std::string encoded = encode(record);
        bytes = encoded.size();
        benchmark::DoNotOptimize(decode_shard_record(encoded));
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

job_spec some_job()
{
    job_spec spec;
    spec.id = job_id("reconcile-2031-04-17-00042");
    spec.team = team(17);
    spec.queue = queue_name("nightly");
    spec.name = "reconcile";
    spec.tasks = 40;
    spec.each = {2'000, 4'096, 0};
    spec.run_time = milliseconds(90'000);
    spec.payload = std::string(100, 'p');
    return spec;
}

const attempt_id some_attempt{{some_job().id, 17}, 1};

void job_accepted_record(benchmark::State& run)
{
    encode_record(run, job_accepted{some_job()});
}

void attempt_assigned_record(benchmark::State& run)
{
    encode_record(run, attempt_assigned{some_attempt, worker(12'345).id});
}

void attempt_ended_record(benchmark::State& run)
{
    encode_record(
        run, attempt_ended{some_attempt, task_state::succeeded, "", ""});
}

void fold_allowance(benchmark::State& run)
{
    cell_state state = whole_state();
    log_offset at = state.applied_through();
    const auto epoch = state.claim(shard(0))->epoch;
    std::size_t bytes = 0;
    for (auto _ : run)
    {
        ++at;
        std::string encoded = encode(cell_record{
            record_id(at),
            allowance_set{
                shard(0),
                epoch,
                team(static_cast<int>(at % teams_of_a_shard)),
                {static_cast<std::int64_t>(at % 1'000), 1'000, 0}}});
        bytes = encoded.size();
        benchmark::DoNotOptimize(
            state.apply(at, decode_cell_record(encoded).value()));
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

void publish_whole_inventory(benchmark::State& run)
{
    const cell_record record{
        record_id(1), inventory_published{0, whole_inventory()}};
    const std::string encoded = encode(record);
    for (auto _ : run)
    {
        cell_state state;
        benchmark::DoNotOptimize(
            state.apply(1, decode_cell_record(encoded).value()));
    }
    run.counters["bytes"] = static_cast<double>(encoded.size());
    run.counters["readable"] =
        static_cast<double>(to_json_text(whole_inventory()).size());
}

void publish_whole_rules(benchmark::State& run)
{
    const std::string encoded =
        encode(cell_record{record_id(1), rules_published{0, whole_rules()}});
    for (auto _ : run)
    {
        cell_state state;
        benchmark::DoNotOptimize(
            state.apply(1, decode_cell_record(encoded).value()));
    }
    run.counters["bytes"] = static_cast<double>(encoded.size());
}

void change_ten_workers(benchmark::State& run)
{
    cell_state state;
    state.apply(1, {"whole", inventory_published{0, whole_inventory()}});
    log_offset at = 1;
    std::size_t bytes = 0;
    for (auto _ : run)
    {
        inventory_changed change{at, {}, {}};
        for (int number = 0; number < 10; ++number)
        {
            change.set.push_back(worker(number * 100));
            change.set.back().capacity.memory_mib += static_cast<int>(at);
        }
        ++at;
        std::string encoded = encode(cell_record{record_id(at), change});
        bytes = encoded.size();
        benchmark::DoNotOptimize(
            state.apply(at, decode_cell_record(encoded).value()));
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

void write_snapshot(benchmark::State& run)
{
    const cell_state state = whole_state();
    std::size_t bytes = 0;
    for (auto _ : run)
    {
        std::string encoded = state.to_snapshot();
        bytes = encoded.size();
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

void read_snapshot(benchmark::State& run)
{
    const std::string encoded = whole_state().to_snapshot();
    for (auto _ : run)
    {
        benchmark::DoNotOptimize(cell_state::from_snapshot(encoded));
    }
}

/// Resident bytes of this process.
double resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(sysconf(_SC_PAGESIZE));
}

void state_memory(benchmark::State& run)
{
    const std::string encoded = whole_state().to_snapshot();
    malloc_trim(0);
    const double before = resident_bytes();
    result<cell_state> state;
    for (auto _ : run)
    {
        state = cell_state::from_snapshot(encoded);
    }
    const double peak = resident_bytes();
    malloc_trim(0);
    run.counters["kept"] = resident_bytes() - before;
    run.counters["while_reading"] = peak - before;
}

BENCHMARK(state_memory)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(job_accepted_record);
BENCHMARK(attempt_assigned_record);
BENCHMARK(attempt_ended_record);
BENCHMARK(fold_allowance);
BENCHMARK(publish_whole_inventory)->Unit(benchmark::kMillisecond);
BENCHMARK(change_ten_workers)->Unit(benchmark::kMillisecond);
BENCHMARK(publish_whole_rules)->Unit(benchmark::kMillisecond);
BENCHMARK(write_snapshot)->Unit(benchmark::kMillisecond);
BENCHMARK(read_snapshot)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
