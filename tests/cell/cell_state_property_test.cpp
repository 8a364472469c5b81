#include "cell/cell_state.hpp"
#include "cell/configuration_change.hpp"
#include "cell/record_writer.hpp"
#include "cell/stream_reader.hpp"
#include "codec/record_codec.hpp"
#include "support/cell_samples.hpp"
#include "support/log_fixture.hpp"
#include "support/property_report.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

using namespace acaciastile;
using namespace acaciastile::samples;

namespace
{

constexpr std::size_t records_of_a_run = 600;
constexpr std::array<const char*, 3> teams{"planning", "orders", "status"};
constexpr std::size_t shards = 4;

/// Generates random records as concurrent operators and shard owners could
/// write them: their base revisions and epochs are either current or stale.
class record_source
{
public:
    explicit record_source(unsigned seed) : random_(seed) {}

    cell_record next(const cell_state& state)
    {
        std::string id = "r" + std::to_string(++drawn_);
        return {id, change(state)};
    }

    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

private:
    cell_change change(const cell_state& state)
    {
        switch (below(10))
        {
        case 0:
            return make_publication(
                state, stale(state.inventory_revision()), some_workers());
        case 1:
            return make_publication(
                state, stale(state.rules_revision()), some_rules());
        case 2:
            return key_granted{caller_key(some_key().str())};
        case 3:
            return key_withdrawn{some_key()};
        case 4:
            return workers_drained{{some_worker()}, below(2) == 0};
        case 5:
            return workers_declared_dead{{some_worker()}};
        case 6:
            return claim(some_shard(), epoch(state), "e");
        default:
            return allow(shard_, epoch_of(state), some_team(), some_amount());
        }
    }

    revision stale(revision in_force)
    {
        return below(3) == 0 ? in_force / 2 : in_force;
    }

    shard_epoch epoch(const cell_state& state)
    {
        const shard_claim* held = state.claim(shard_id(shard_));
        return held == nullptr ? 0 : stale(held->epoch);
    }

    shard_epoch epoch_of(const cell_state& state)
    {
        some_shard();
        return epoch(state);
    }

    std::string some_shard()
    {
        shard_ = "s/" + std::to_string(below(shards));
        return shard_;
    }

    std::string some_team() { return teams[below(teams.size())]; }
    key_id some_key() { return key_id("k" + std::to_string(below(20))); }
    worker_id some_worker()
    {
        return worker_id("w" + std::to_string(below(6)));
    }

    resources some_amount()
    {
        return {
            static_cast<std::int64_t>(below(60)),
            static_cast<std::int64_t>(below(60)),
            static_cast<std::int64_t>(below(4))};
    }

    inventory some_workers()
    {
        std::vector<worker_entry> list;
        for (std::size_t at = 0; at < 6; ++at)
        {
            std::string port = std::to_string(9'000 + below(2));
            if (below(3) > 0)
            {
                list.push_back(
                    worker("w" + std::to_string(at), "127.0.0.1:" + port));
            }
        }
        return workers(std::move(list));
    }

    rules some_rules()
    {
        std::vector<team_rule> list;
        for (const char* team : teams)
        {
            if (below(4) > 0)
            {
                list.push_back({team_name(team), 1, some_amount()});
            }
        }
        return rules::create(std::move(list), {}).value();
    }

    std::mt19937_64 random_;
    std::size_t drawn_ = 0;
    std::string shard_ = "s/0";
};

resources summed(const cell_state& state, const team_name& team)
{
    resources sum;
    for (std::size_t at = 0; at < shards; ++at)
    {
        sum += state.allowance(shard_id("s/" + std::to_string(at)), team);
    }
    return sum;
}

/// Generates a possible content of the log, with some records repeated.
std::vector<cell_record> drawn_log(unsigned seed)
{
    record_source source(seed);
    cell_state state;
    std::vector<cell_record> log;
    while (log.size() < records_of_a_run)
    {
        bool repeat = !log.empty() && source.below(5) == 0;
        cell_record record =
            repeat ? log[source.below(log.size())] : source.next(state);
        log.push_back(record);
        state.apply(log.size(), record);
    }
    return log;
}

/// Applies a log, reading some offsets twice and sometimes replacing the state
/// by its decoded snapshot, as after a restart.
cell_state folded(const std::vector<cell_record>& log, unsigned seed)
{
    std::mt19937_64 random(seed);
    cell_state state;
    std::size_t at = 0;
    while (at < log.size())
    {
        state.apply(at + 1, log[at]);
        ++at;
        if (random() % 50 == 0)
        {
            state = cell_state::from_snapshot(state.to_snapshot()).value();
        }
        if (random() % 20 == 0)
        {
            at -= std::min<std::size_t>(at, random() % 5);
        }
    }
    return state;
}

} // namespace

TEST_CASE("every way of reading one log gives one state", "[property]")
{
    static constexpr seed_range seeds{100, 139};
    const auto seed = GENERATE(range(seeds.first, seeds.last + 1));
    CAPTURE(seed);
    const auto log = drawn_log(seed);
    cell_state straight;
    std::size_t accepted = 0;
    for (std::size_t at = 0; at < log.size(); ++at)
    {
        accepted += straight.apply(at + 1, log[at]).accepted() ? 1 : 0;
    }
    CAPTURE(accepted);
    CHECK(accepted > records_of_a_run / 10);
    for (unsigned reading = 0; reading < 5; ++reading)
    {
        CHECK(folded(log, seed * 10 + reading) == straight);
    }
    report_property("one state", seeds, seed, log.size() * 5);
}

TEST_CASE("a duplicate record changes only the applied offset", "[property]")
{
    static constexpr seed_range seeds{200, 219};
    const auto seed = GENERATE(range(seeds.first, seeds.last + 1));
    CAPTURE(seed);
    const auto log = drawn_log(seed);
    std::set<std::string> ids;
    cell_state with_copies;
    cell_state without;
    for (std::size_t at = 0; at < log.size(); ++at)
    {
        const bool copy = !ids.insert(log[at].id).second;
        const auto outcome = with_copies.apply(at + 1, log[at]);
        REQUIRE(outcome.duplicate == copy);
        if (copy)
        {
            without.skip(at + 1);
        }
        else
        {
            without.apply(at + 1, log[at]);
        }
        REQUIRE(with_copies.to_snapshot() == without.to_snapshot());
    }
    report_property("repeats", seeds, seed, log.size());
}

TEST_CASE("no accepted record raises a sum above its limit", "[property]")
{
    static constexpr seed_range seeds{300, 339};
    const auto seed = GENERATE(range(seeds.first, seeds.last + 1));
    CAPTURE(seed);
    record_source source(seed);
    cell_state state;
    for (log_offset at = 1; at <= records_of_a_run; ++at)
    {
        std::map<team_name, resources> before;
        for (const char* team : teams)
        {
            before[team_name(team)] = state.allowance_sum(team_name(team));
        }
        const cell_record record = source.next(state);
        state.apply(at, record);
        for (const auto& [team, sum] : before)
        {
            const resources now = state.allowance_sum(team);
            const team_rule* rule = state.rules_in_force().find(team);
            const resources limit =
                rule == nullptr ? resources{} : rule->upper_limit;
            REQUIRE(now == summed(state, team));
            // A sum that exceeds a lowered limit must not grow.
            REQUIRE(now.fits_in(max(limit, sum)));
        }
    }
    report_property("limits", seeds, seed, records_of_a_run);
}

TEST_CASE("revisions and epochs never decrease", "[property]")
{
    static constexpr seed_range seeds{400, 419};
    const auto seed = GENERATE(range(seeds.first, seeds.last + 1));
    CAPTURE(seed);
    const auto log = drawn_log(seed);
    cell_state state;
    revision newest_inventory = 0;
    std::map<shard_id, shard_epoch> epochs;
    std::set<key_id> withdrawn;
    for (std::size_t at = 0; at < log.size(); ++at)
    {
        const auto outcome = state.apply(at + 1, log[at]);
        REQUIRE(state.inventory_revision() >= newest_inventory);
        newest_inventory = state.inventory_revision();
        for (const auto& [shard, held] : state.claims())
        {
            REQUIRE(held.epoch >= epochs[shard]);
            epochs[shard] = held.epoch;
        }
        if (const auto* change = std::get_if<key_withdrawn>(&log[at].change);
            change != nullptr && outcome.accepted())
        {
            withdrawn.insert(change->id);
        }
        for (const key_id& id : withdrawn)
        {
            REQUIRE(state.find_key(id) == nullptr);
        }
    }
    report_property("no way back", seeds, seed, log.size());
}

namespace
{

/// One instance: a writer, a reader and the state that it applies records to.
struct racing_instance
{
    racing_instance(log_service& log, unsigned seed)
        : writer(record_writer::create(log, stream_name("s"), {}, seed)),
          reader(stream_reader::create(
              log,
              stream_name("s"),
              1,
              {},
              [this](const log_entry& entry) { take(entry); },
              [](log_offset) {}))
    {
    }

    void take(const log_entry& entry)
    {
        auto record = decode_cell_record(entry.body).value();
        auto outcome = state.apply(entry.offset, record);
        writer->settle(record.id, outcome);
    }

    void write(instant now, cell_record record)
    {
        ++written;
        writer->write(
            now,
            record.id,
            encode(record),
            milliseconds(600'000),
            [this, id = record.id](const result<fold_outcome>& outcome)
            {
                REQUIRE(outcome.has_value());
                REQUIRE_FALSE(outcome->duplicate);
                ended[id] = outcome->accepted();
            });
    }

    void tick(instant now)
    {
        writer->tick(now);
        reader->tick(now);
    }

    cell_state state;
    std::unique_ptr<record_writer> writer;
    std::unique_ptr<stream_reader> reader;
    std::map<std::string, bool> ended;
    std::size_t written = 0;
};

} // namespace

TEST_CASE("concurrent writers on a faulty log agree", "[property]")
{
    static constexpr seed_range seeds{500, 509};
    const auto seed = GENERATE(range(seeds.first, seeds.last + 1));
    CAPTURE(seed);
    log_fixture bench;
    racing_instance first(bench.log, seed);
    racing_instance second(bench.log, seed + 1'000);
    record_source source(seed);
    bench.log.lose_append_answers_at_random(0.3, lost_answer::never);
    auto tick = [&](instant now)
    {
        first.tick(now);
        second.tick(now);
    };
    for (int round = 0; round < 200; ++round)
    {
        auto& one = source.below(2) == 0 ? first : second;
        one.write(bench.timers.now(), source.next(one.state));
        bench.log.refuse_appends(source.below(10) == 0 ? 1 : 0);
        bench.run_for(milliseconds(10 * source.below(10)), tick);
    }
    bench.log.lose_append_answers_at_random(0);
    bench.run_for(milliseconds(60'000), tick);
    CHECK(first.ended.size() == first.written);
    CHECK(second.ended.size() == second.written);
    CHECK(first.state == second.state);
    // The outcomes reported to the writers match those of a full replay.
    racing_instance fresh(bench.log, 1);
    bench.run_for(milliseconds(1'000), [&](instant now) { fresh.tick(now); });
    CHECK(fresh.state == first.state);
    for (const auto* instance : {&first, &second})
    {
        for (const auto& [id, accepted] : instance->ended)
        {
            auto outcome = fresh.state.outcome_of(id);
            REQUIRE(outcome.has_value());
            CHECK(accepted == !outcome->refusal.has_value());
        }
    }
    report_property(
        "racing writers", seeds, seed, first.written + second.written);
}
