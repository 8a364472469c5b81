#include "edge/config_watch.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::edge;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

struct fixture
{
    standin::manual_clock clock;
    standin::memory_store store{clock};
    standin::memory_store::client link{store};
    plain_records records;
    counted_events events;
    std::shared_ptr<config_watch> watch =
        config_watch::create({}, link, records, clock, events);

    fixture()
    {
        store.put("operators", "config", "3");
        watch->start();
        clock.advance(100ms);
    }
};

} // namespace

TEST_CASE("a new version is in force soon and never goes back", "[config]")
{
    fixture at;
    REQUIRE(at.watch->current() != nullptr);
    CHECK(at.watch->current()->version() == 3);
    at.store.put("operators", "config", "8");
    at.clock.advance(100ms);
    CHECK(at.watch->current()->version() == 8);
    at.store.put("operators", "config", "5");
    at.clock.advance(100ms);
    CHECK(at.watch->current()->version() == 8);
    CHECK(at.watch->is_fresh());
}

TEST_CASE(
    "a VM that the store turns away learns versions from another", "[config]")
{
    fixture at;
    at.link.requests_rejected = true;
    at.clock.advance(3s);
    CHECK_FALSE(at.watch->is_fresh());
    at.watch->learn_from_peer(9, "9", 100ms);
    CHECK(at.watch->current()->version() == 9);
    CHECK(at.watch->is_fresh());
    at.watch->learn_from_peer(7, "7", 0ms);
    CHECK(at.watch->current()->version() == 9);
    at.clock.advance(3s);
    CHECK_FALSE(at.watch->is_fresh());
}

TEST_CASE("a suspend of the VM makes its configuration stale", "[config]")
{
    fixture at;
    at.clock.suspend(5s);
    CHECK_FALSE(at.watch->is_fresh());
}

TEST_CASE("a refresh tells what is stored while the long poll waits")
{
    fixture at;
    at.store.long_polls_ignore_appends = true;
    at.clock.advance(2s);
    at.store.put("operators", "evacuate/a", "{}");
    bool told = false;
    at.watch->refresh(
        [&]
        {
            told = true;
            CHECK(at.watch->evacuations().contains(data_centre_name("a")));
        });
    at.clock.advance(20ms);
    CHECK(told);
}

TEST_CASE("a refresh is answered once the store is back")
{
    fixture at;
    at.link.requests_rejected = true;
    at.clock.advance(1s);
    int told = 0;
    at.watch->refresh([&] { ++told; });
    at.clock.advance(2s);
    CHECK(told == 0);
    at.store.put("operators", "evacuate/a", "{}");
    at.store.truncate_before("operators", at.store.end("operators"));
    at.link.requests_rejected = false;
    at.clock.advance(1s);
    CHECK(told == 1);
    CHECK(at.watch->evacuations().contains(data_centre_name("a")));
}

TEST_CASE("a refresh before the first read is answered by that read")
{
    standin::manual_clock clock;
    standin::memory_store store{clock};
    standin::memory_store::client link{store};
    plain_records records;
    counted_events events;
    const auto watch = config_watch::create({}, link, records, clock, events);
    store.put("operators", "evacuate/a", "{}");
    watch->start();
    bool told = false;
    watch->refresh([&] { told = true; });
    clock.advance(50ms);
    CHECK(told);
    CHECK(watch->evacuations().contains(data_centre_name("a")));
}
