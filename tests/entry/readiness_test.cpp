#include "entry/readiness.hpp"
#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;

TEST_CASE("a control thread that was never heard is not alive", "[entry]")
{
    readiness state;
    const instant now = instant{} + std::chrono::hours{1};
    CHECK_FALSE(state.alive(now, milliseconds{5'000}));
    state.tell(now, false);
    CHECK(state.alive(now + milliseconds{5'000}, milliseconds{5'000}));
    CHECK_FALSE(state.alive(now + milliseconds{5'001}, milliseconds{5'000}));
    CHECK_FALSE(state.ready());
}

TEST_CASE("an instance is healthy before its first round", "[entry]")
{
    entry_fixture made(entry_fixture::small_settings(), false);
    CHECK(made.client->send("GET", "/health").status == 200);
    CHECK(made.client->send("GET", "/ready").status == 503);
}
