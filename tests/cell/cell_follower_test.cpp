#include "cell/cell_follower.hpp"
#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"
#include "support/cell_samples.hpp"
#include "support/event_recorder.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::samples;

namespace
{

struct following : log_fixture
{
    explicit following(embedded_log_settings settings = {})
        : log_fixture(settings)
    {
        first.policy.records = 1'000'000;
        first.policy.age = milliseconds(3'600'000);
        first.policy.unknown_age = milliseconds(3'600'000);
        first.snapshots.index_interval = milliseconds(200);
        first.snapshots.writer.append_interval = milliseconds(10);
        start();
    }

    /// Replaces the follower, simulating a process restart.
    void start()
    {
        folded = 0;
        loads = 0;
        follower = cell_follower::create(
            log,
            first,
            "e" + std::to_string(++starts),
            3,
            events,
            [this](const cell_record&, const fold_outcome&) { ++folded; },
            [this] { ++loads; });
    }

    void run(milliseconds span)
    {
        run_for(span, [this](instant now) { follower->tick(now); });
    }

    void publish(std::size_t count)
    {
        std::vector<std::string> bodies;
        for (std::size_t at = 0; at < count; ++at)
        {
            std::string id = "k" + std::to_string(++records);
            key_granted change{caller_key(id)};
            bodies.push_back(encode(cell_record{"r" + id, change}));
        }
        append(cell_stream(), std::move(bodies));
    }

    void write_snapshots_after(std::uint64_t count)
    {
        first.policy.records = count;
    }

    cell_follower_settings first;
    event_recorder events;
    std::unique_ptr<cell_follower> follower;
    std::size_t folded = 0;
    std::size_t loads = 0;
    std::size_t records = 0;
    std::size_t starts = 0;
};

const key_entry* key(const following& bench, std::size_t number)
{
    key_id id("k" + std::to_string(number));
    return bench.follower->state().find_key(id);
}

} // namespace

TEST_CASE("without a snapshot the whole stream is applied", "[follower]")
{
    following bench;
    CHECK_FALSE(bench.follower->started());
    bench.publish(30);
    bench.run(milliseconds(500));
    CHECK(bench.follower->started());
    CHECK(bench.follower->at_head());
    CHECK(bench.folded == 30);
    CHECK(bench.follower->state().applied_through() == 30);
    CHECK(key(bench, 30) != nullptr);
}

TEST_CASE("a restart loads the newest snapshot, then the tail", "[follower]")
{
    following bench;
    bench.write_snapshots_after(25);
    bench.start();
    bench.publish(25);
    bench.run(milliseconds(2'000));
    CHECK(bench.events.count(event_number::snapshot_written) == 1);
    bench.publish(5);
    bench.start();
    bench.run(milliseconds(2'000));
    CHECK(bench.loads == 1);
    CHECK(bench.folded == 5);
    CHECK(bench.follower->state().applied_through() == 30);
    CHECK(key(bench, 1) != nullptr);
    CHECK(bench.events.count(event_number::snapshot_written) == 1);
}

TEST_CASE("only one of several instances writes snapshots", "[follower]")
{
    following bench;
    bench.write_snapshots_after(20);
    bench.start();
    event_recorder others;
    auto second = cell_follower::create(
        bench.log, bench.first, "x", 9, others, [](auto&, auto&) {}, [] {});
    second->set_rank(1);
    auto tick = [&](instant now)
    {
        bench.follower->tick(now);
        second->tick(now);
    };
    for (int round = 0; round < 6; ++round)
    {
        bench.publish(20);
        bench.run_for(milliseconds(2'000), tick);
    }
    CHECK(bench.events.count(event_number::snapshot_written) == 6);
    CHECK(others.count(event_number::snapshot_written) == 0);
    // The first instance stops; the second takes over.
    auto only_second = [&](instant now) { second->tick(now); };
    bench.publish(30);
    bench.run_for(milliseconds(2'000), only_second);
    CHECK(others.count(event_number::snapshot_written) == 1);
}

TEST_CASE("an expired offset makes it load a newer snapshot", "[follower]")
{
    embedded_log_settings short_lived;
    short_lived.keep_entries = 40;
    following bench(short_lived);
    bench.write_snapshots_after(20);
    bench.start();
    bench.publish(10);
    bench.run(milliseconds(500));
    // Pauses one follower while another continues and writes snapshots.
    auto paused = std::move(bench.follower);
    bench.start();
    for (int round = 0; round < 8; ++round)
    {
        bench.publish(20);
        bench.run(milliseconds(1'000));
    }
    CHECK(bench.events.count(event_number::snapshot_missing) == 0);
    bench.loads = 0;
    bench.run_for(milliseconds(3'000), [&](instant now) { paused->tick(now); });
    CHECK(bench.loads == 1);
    CHECK(paused->at_head());
    CHECK(paused->state() == bench.follower->state());
}

TEST_CASE("records at the retention limit are never skipped", "[follower]")
{
    // The snapshot covers everything before the oldest retained entry, or all
    // but one: then there is a gap and the follower must not continue.
    const bool gap = GENERATE(false, true);
    CAPTURE(gap);
    following bench;
    bench.write_snapshots_after(20);
    bench.start();
    bench.publish(20);
    bench.run(milliseconds(1'000));
    REQUIRE(bench.events.count(event_number::snapshot_written) == 1);
    bench.write_snapshots_after(1'000'000);
    bench.publish(10);
    bench.log.set_retention(gap ? 9 : 10, milliseconds{0});
    bench.start();
    bench.run(milliseconds(8'000));
    CHECK(bench.follower->at_head() == !gap);
    CHECK(bench.follower->started() == !gap);
    CHECK(bench.events.count(event_number::snapshot_missing) == (gap ? 1 : 0));
    CHECK(bench.follower->state().applied_through() == (gap ? 20 : 30));
}

TEST_CASE("an old snapshot never brings an older state back", "[follower]")
{
    embedded_log_settings short_lived;
    short_lived.keep_entries = 40;
    following bench(short_lived);
    bench.write_snapshots_after(20);
    bench.start();
    bench.publish(20);
    bench.run(milliseconds(1'000));
    bench.write_snapshots_after(1'000'000);
    bench.start();
    bench.publish(15);
    bench.run(milliseconds(1'000));
    CHECK(bench.follower->state().applied_through() == 35);
    bench.loads = 0;
    bench.publish(60); // The next offset expires unread.
    bench.run(milliseconds(8'000));
    CHECK(bench.loads == 0);
    CHECK(bench.follower->state().applied_through() == 35);
    CHECK(key(bench, 35) != nullptr);
    CHECK_FALSE(bench.follower->at_head());
    CHECK(bench.events.count(event_number::snapshot_missing) == 1);
}

TEST_CASE("periodic snapshots preserve the state of an idle cell", "[follower]")
{
    embedded_log_settings by_age;
    by_age.keep_for = milliseconds(60'000);
    following bench(by_age);
    bench.first.policy.age = milliseconds(20'000);
    bench.first.policy.unknown_age = milliseconds(2'000);
    bench.start();
    bench.publish(5);
    bench.run(milliseconds(300'000));
    bench.start();
    bench.run(milliseconds(2'000));
    CHECK(bench.loads == 1);
    CHECK(bench.follower->at_head());
    CHECK(key(bench, 5) != nullptr);
}

TEST_CASE("an outage is reported once and stops last_contact", "[follower]")
{
    following bench;
    bench.publish(1);
    bench.run(milliseconds(1'000));
    const instant contact = bench.follower->last_contact();
    bench.log.set_down(true);
    bench.run(milliseconds(30'000));
    CHECK(bench.follower->failing());
    CHECK(bench.follower->last_contact() - contact < milliseconds(400));
    CHECK(bench.events.count(event_number::log_down) == 1);
    bench.log.set_down(false);
    bench.run(milliseconds(2'000));
    CHECK(bench.events.count(event_number::log_up) == 1);
    CHECK_FALSE(bench.follower->failing());
}

TEST_CASE("a start during an outage waits and reports it", "[follower]")
{
    following bench;
    bench.publish(3);
    bench.log.set_down(true);
    bench.run(milliseconds(20'000));
    CHECK_FALSE(bench.follower->started());
    CHECK(bench.follower->failing());
    CHECK(bench.events.count(event_number::log_down) == 1);
    bench.log.set_down(false);
    bench.run(milliseconds(5'000));
    CHECK(bench.follower->started());
    CHECK(bench.folded == 3);
    CHECK(bench.events.count(event_number::log_up) == 1);
}

TEST_CASE("an undecodable entry is skipped and reported", "[follower]")
{
    following bench;
    bench.publish(1);
    bench.append(cell_stream(), {"no record"});
    bench.publish(1);
    bench.run(milliseconds(1'000));
    CHECK(bench.folded == 2);
    CHECK(bench.follower->state().applied_through() == 3);
    CHECK(bench.events.count(event_number::record_unreadable) == 1);
}
