#include "cell/snapshot_loader.hpp"
#include "cell/snapshot_store.hpp"
#include "cell/stream_names.hpp"
#include "support/cell_samples.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::samples;

namespace
{

cell_state state_through(log_offset offset)
{
    cell_state state;
    for (log_offset at = 1; at <= offset; ++at)
    {
        std::string id = "k" + std::to_string(at);
        state.apply(at, {"r" + id, key_granted{caller_key(id)}});
    }
    return state;
}

struct storing : log_fixture
{
    explicit storing(embedded_log_settings settings = {})
        : log_fixture(settings)
    {
        store = made("e1");
    }

    std::unique_ptr<snapshot_store> made(const std::string& writer)
    {
        snapshot_store_settings settings;
        settings.writer.chunk_bytes = 64;
        settings.writer.append_interval = milliseconds(20);
        settings.index_interval = milliseconds(200);
        return snapshot_store::create(log, settings, writer, 5);
    }

    void run(milliseconds span)
    {
        run_for(span, [this](instant now) { store->tick(now); });
    }

    void write(log_offset covered)
    {
        std::optional<result<log_offset>> written;
        store->write(
            timers.now(),
            state_through(covered),
            [&](const result<log_offset>& outcome) { written = outcome; });
        run(milliseconds(20'000));
        REQUIRE(written.has_value());
        REQUIRE(written->has_value());
        CHECK(**written == covered);
    }

    /// Loads with a new store, which has not read the index yet.
    std::optional<cell_state> load(log_offset newer_than = 0)
    {
        store = made("e2");
        std::optional<cell_state> loaded;
        bool answered = false;
        store->load(
            timers.now(),
            newer_than,
            [&](result<std::optional<cell_state>> outcome)
            {
                answered = true;
                loaded = std::move(*outcome);
            });
        run(milliseconds(10'000));
        CHECK(answered);
        return loaded;
    }

    std::unique_ptr<snapshot_store> store;
};

} // namespace

TEST_CASE("a chunked snapshot round-trips", "[snapshot]")
{
    storing bench;
    CHECK_FALSE(bench.load().has_value());
    bench.write(20);
    CHECK(bench.log.kept(snapshot_stream()).size() > 5);
    CHECK(bench.load() == state_through(20));
    CHECK(bench.store->newest()->notice.covered == 20);
    CHECK_FALSE(bench.store->newest()->seen_appear);
}

TEST_CASE("only snapshots newer than the state are loaded", "[snapshot]")
{
    storing bench;
    bench.write(20);
    CHECK_FALSE(bench.load(20).has_value());
    CHECK(bench.load(19).has_value());
}

TEST_CASE(
    "the snapshot with the highest covered offset is loaded", "[snapshot]")
{
    storing bench;
    bench.write(20);
    bench.write(12);
    CHECK(bench.load() == state_through(20));
}

TEST_CASE("an incomplete snapshot is ignored", "[snapshot]")
{
    storing bench;
    bench.write(5);
    bench.store->write(
        bench.timers.now(), state_through(30), [](const auto&) {});
    bench.run(milliseconds(60));
    CHECK(bench.store->writing());
    CHECK(bench.load() == state_through(5));
}

TEST_CASE("a corrupt snapshot is skipped for an older one", "[snapshot]")
{
    storing bench;
    bench.write(5);
    const std::string encoded = state_through(30).to_snapshot();
    snapshot_notice notice;
    notice.id = "bad";
    notice.covered = 30;
    notice.first_chunk = bench.log.kept(snapshot_stream()).back().offset + 1;
    notice.bytes = encoded.size();
    notice.checksum = checksum_of(encoded);
    std::vector<std::string> bodies;
    for (const auto& chunk : split_snapshot("bad", encoded, 100))
    {
        bodies.push_back(encode(chunk));
    }
    notice.count = static_cast<std::uint32_t>(bodies.size());
    auto harm = GENERATE(0, 1, 2);
    CAPTURE(harm);
    if (harm == 0)
    {
        bodies[1][bodies[1].size() / 2] ^= 1;
    }
    else if (harm == 1)
    {
        bodies.erase(bodies.begin() + 1);
    }
    else
    {
        notice.checksum ^= 1;
    }
    bench.append(snapshot_stream(), bodies);
    bench.append(snapshot_index_stream(), {encode(notice)});
    CHECK(bench.load() == state_through(5));
}

TEST_CASE("an intact copy of a corrupt chunk is used", "[snapshot]")
{
    storing bench;
    const std::string encoded = state_through(9).to_snapshot();
    snapshot_notice notice{"good", 9, 1, 0, encoded.size(), 0};
    notice.checksum = checksum_of(encoded);
    std::vector<std::string> bodies;
    for (const auto& chunk : split_snapshot("good", encoded, 100))
    {
        bodies.push_back(encode(chunk));
    }
    notice.count = static_cast<std::uint32_t>(bodies.size());
    std::string damaged = bodies[1];
    damaged.back() ^= 1;
    bodies.insert(bodies.begin() + 1, damaged);
    bench.append(snapshot_stream(), bodies);
    bench.append(snapshot_index_stream(), {encode(notice)});
    CHECK(bench.load() == state_through(9));
}

TEST_CASE("a write survives lost answers and an outage", "[snapshot]")
{
    storing bench;
    bench.log.lose_append_answers(2);
    bench.write(10);
    bench.store->write(
        bench.timers.now(), state_through(15), [](const auto&) {});
    bench.run(milliseconds(50));
    bench.log.set_down(true);
    bench.run(milliseconds(20'000));
    bench.log.set_down(false);
    bench.run(milliseconds(20'000));
    CHECK_FALSE(bench.store->writing());
    CHECK(bench.load() == state_through(15));
}

TEST_CASE("a snapshot write times out", "[snapshot]")
{
    storing bench;
    std::optional<result<log_offset>> written;
    bench.log.set_down(true);
    bench.store->write(
        bench.timers.now(),
        state_through(3),
        [&](const result<log_offset>& outcome) { written = outcome; });
    bench.run(milliseconds(121'000));
    REQUIRE(written.has_value());
    CHECK(written->error().code == refusal_code::log_unavailable);
    CHECK_FALSE(bench.store->writing());
}

TEST_CASE("interleaved chunks of two writers are kept apart", "[snapshot]")
{
    storing bench;
    auto other = bench.made("e9");
    bench.store->write(
        bench.timers.now(), state_through(14), [](const auto&) {});
    other->write(bench.timers.now(), state_through(15), [](const auto&) {});
    bench.run_for(
        milliseconds(5'000),
        [&](instant now)
        {
            bench.store->tick(now);
            other->tick(now);
        });
    CHECK(bench.load() == state_through(15));
}

TEST_CASE("a snapshot with expired chunks is skipped", "[snapshot]")
{
    embedded_log_settings settings;
    settings.keep_entries = 16;
    storing bench(settings);
    bench.write(2);
    CHECK(bench.load().has_value());
    bench.append(snapshot_stream(), std::vector<std::string>(16, "x"));
    CHECK_FALSE(bench.load().has_value());
}
