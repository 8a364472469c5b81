#include "cell/log_relay.hpp"
#include "cell/relay_message.hpp"
#include "cell/relayed_log.hpp"
#include "cell/stream_names.hpp"
#include "cell/stream_reader.hpp"
#include "platform/embedded/embedded_peers.hpp"
#include "support/log_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

namespace
{

/// One instance: a relayed log with its own view of the network, and a reader
/// on top of it.
struct relaying_instance
{
    relaying_instance(
        embedded_log& shared,
        embedded_peers& peers,
        const std::string& name,
        const std::string& ask)
        : view(shared, name), gateway(peers, name)
    {
        log = relayed_log::create(view, gateway, {}, [ask] { return ask; });
        stream_reader_settings settings;
        settings.answer_age = [this] { return log->answer_age(); };
        reader = stream_reader::create(
            *log,
            cell_stream(),
            1,
            settings,
            [this](const log_entry& entry) { text += entry.body; },
            [](log_offset) {});
    }

    void tick(instant now)
    {
        log->tick(now);
        reader->tick(now);
    }

    embedded_log_view view;
    embedded_peer_gateway gateway;
    std::unique_ptr<relayed_log> log;
    std::unique_ptr<stream_reader> reader;
    std::string text;
};

struct relaying : log_fixture
{
    relaying()
        : peers(network),
          first(log, peers, "e1", "e2:1"),
          second(log, peers, "e2", "e1:1")
    {
        enter("e1", first);
        enter("e2", second);
    }

    void enter(const std::string& name, relaying_instance& instance)
    {
        peers.enter(
            name + ":1",
            name,
            [this, &instance](
                const std::string& method,
                const std::string& body,
                const completion<std::string>& done)
            {
                CHECK(method == relay_read_method);
                log_relay relay(instance.log->tail());
                done(relay.serve(timers.now(), body));
            });
    }

    void run(milliseconds span)
    {
        run_for(
            span,
            [this](instant now)
            {
                first.tick(now);
                second.tick(now);
            });
    }

    milliseconds age(const relaying_instance& instance) const
    {
        return timers.now() - instance.reader->last_contact();
    }

    embedded_peers peers;
    relaying_instance first;
    relaying_instance second;
};

} // namespace

TEST_CASE("without access to the log, reads go through a peer", "[relay]")
{
    auto manner = GENERATE(cut_manner::refused, cut_manner::silent);
    relaying bench;
    bench.append(cell_stream(), {"a", "b"});
    bench.run(milliseconds(1'000));
    bench.network.cut("e1", embedded_log::endpoint, manner);
    bench.run(milliseconds(5'000));
    bench.append(cell_stream(), {"c"});
    bench.run(milliseconds(5'000));
    CHECK(bench.first.text == "abc");
    // Data from a peer is only as fresh as the peer's own last contact.
    CHECK(bench.age(bench.first) > bench.age(bench.second));
    CHECK(bench.age(bench.first) < milliseconds(3'000));
    CHECK_FALSE(bench.first.reader->failing());
    bench.network.heal_all();
    bench.run(milliseconds(3'000));
    bench.append(cell_stream(), {"d"});
    bench.run(milliseconds(1'000));
    CHECK(bench.first.text == "abcd");
    CHECK(bench.first.log->answer_age() == milliseconds(0));
}

TEST_CASE("two peers without the log do not extend last_contact", "[relay]")
{
    relaying bench;
    bench.append(cell_stream(), {"a"});
    bench.run(milliseconds(1'000));
    const instant newest = std::max(
        bench.first.reader->last_contact(),
        bench.second.reader->last_contact());
    bench.log.set_down(true);
    bench.run(milliseconds(60'000));
    CHECK(bench.first.reader->last_contact() <= newest);
    CHECK(bench.second.reader->last_contact() <= newest);
    CHECK(bench.age(bench.first) >= milliseconds(60'000));
    CHECK(bench.first.reader->failing());
    CHECK(bench.second.reader->failing());
}

TEST_CASE("without the log and the peer, reads fail", "[relay]")
{
    relaying bench;
    bench.append(cell_stream(), {"a"});
    bench.run(milliseconds(1'000));
    bench.network.cut("e1", embedded_log::endpoint);
    bench.network.cut("e1", "e2", cut_manner::silent);
    bench.run(milliseconds(10'000));
    CHECK(bench.first.reader->failing());
    CHECK(bench.age(bench.first) >= milliseconds(10'000));
    CHECK(bench.first.text == "a");
}

TEST_CASE("reads fail if the offset is older than the peer's cache", "[relay]")
{
    relaying bench;
    bench.append(cell_stream(), {std::string(5 * 1024 * 1024, 'x'), "b"});
    bench.run(milliseconds(1'000));
    auto late = relaying_instance(bench.log, bench.peers, "e3", "e2:1");
    bench.network.cut("e3", embedded_log::endpoint);
    bench.run_for(
        milliseconds(3'000),
        [&](instant now)
        {
            bench.second.tick(now);
            late.tick(now);
        });
    CHECK(late.reader->failing());
    CHECK(late.text.empty());
}

TEST_CASE("the tail is bounded, contiguous and ignores old heads", "[relay]")
{
    log_tail tail(10);
    const instant early(milliseconds(5));
    const instant late(milliseconds(9));
    tail.add(log_page{{{1, "aaaa"}, {2, "bbbb"}, {3, "cccc"}}, 4, 4, 1}, early);
    CHECK(tail.bytes() == 8);
    CHECK(tail.contact() == early);
    CHECK(tail.read(2, 100)->entries.size() == 2);
    CHECK(tail.read(2, 1)->entries.size() == 1);
    CHECK(tail.read(4, 1)->entries.empty());
    CHECK(tail.read(1, 1).error().code == refusal_code::offset_expired);
    tail.add(log_page{{}, 3, 3, 1}, late);
    CHECK(tail.contact() == early);
    tail.add(log_page{{{7, "g"}}, 8, 9, 1}, late);
    CHECK(tail.contact() == early);
    CHECK_FALSE(tail.read(3, 1).has_value());
    CHECK(tail.read(7, 1)->entries.size() == 1);
    tail.add(log_page{{}, 20, 20, 20}, late);
    CHECK(tail.contact() == late);
    CHECK(tail.read(20, 1)->head == 20);
}

TEST_CASE("relay messages round-trip; malformed ones are rejected", "[relay]")
{
    relay_reply reply{{{{4, "\xff"}, {5, ""}}, 6, 9, 2}, milliseconds(77)};
    auto read = decode_relay_reply(encode(reply)).value();
    CHECK(read.page.entries[0].body == "\xff");
    CHECK(read.page.entries[1].offset == 5);
    CHECK(read.page.next == 6);
    CHECK(read.page.head == 9);
    CHECK(read.page.first_kept == 2);
    CHECK(read.age == reply.age);
    CHECK(decode_relay_request(encode(relay_request{3, 9}))->limit_bytes == 9);
    CHECK_FALSE(decode_relay_request("").has_value());
    CHECK_FALSE(decode_relay_reply("x").has_value());
    CHECK_FALSE(log_relay(log_tail(9)).serve(instant(), "").has_value());
}
