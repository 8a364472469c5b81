#include "cell/circuit_breaker.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace acaciastile;

namespace
{

instant at(std::int64_t ms)
{
    return instant(milliseconds{ms});
}

} // namespace

TEST_CASE(
    "consecutive failures open it; a success resets the count", "[breaker]")
{
    circuit_breaker breaker = circuit_breaker::create({}, 1);
    breaker.failed(at(0));
    breaker.failed(at(1));
    breaker.succeeded();
    breaker.failed(at(2));
    breaker.failed(at(3));
    CHECK_FALSE(breaker.is_open());
    CHECK(breaker.next_try() == instant::min());
    breaker.failed(at(4));
    CHECK(breaker.is_open());
    CHECK(breaker.next_try() >= at(4));
    CHECK(breaker.next_try() <= at(504));
}

TEST_CASE("half-open allows one call until its result is reported", "[breaker]")
{
    circuit_breaker breaker = circuit_breaker::create({}, 2);
    for (int n = 0; n < 3; ++n)
    {
        breaker.failed(at(0));
    }
    const instant due = breaker.next_try();
    CHECK(breaker.allow(due));
    CHECK_FALSE(breaker.allow(due));
    CHECK_FALSE(breaker.allow(due + milliseconds{60'000}));
    breaker.failed(due);
    CHECK(breaker.is_open());
    const instant again = breaker.next_try();
    CHECK(breaker.allow(again));
    breaker.succeeded();
    CHECK_FALSE(breaker.is_open());
    CHECK(breaker.allow(again));
    CHECK(breaker.allow(again));
}

TEST_CASE(
    "failures of calls made before it opened do not delay it", "[breaker]")
{
    circuit_breaker breaker = circuit_breaker::create({}, 3);
    for (int n = 0; n < 3; ++n)
    {
        breaker.failed(at(0));
    }
    const instant due = breaker.next_try();
    for (int n = 0; n < 50; ++n)
    {
        breaker.failed(at(n));
    }
    CHECK(breaker.next_try() == due);
}

TEST_CASE("calls to a dead target become less frequent", "[breaker][property]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        circuit_breaker breaker = circuit_breaker::create({}, seed);
        int calls = 0;
        for (std::int64_t now = 0; now < 600'000; now += 10)
        {
            if (breaker.allow(at(now)))
            {
                ++calls;
                breaker.failed(at(now));
            }
        }
        // Mean delay at the cap is 5 s: 120 in 600 s, plus the first ones.
        REQUIRE(calls < 220);
        REQUIRE(calls > 60);
        REQUIRE(breaker.next_try() <= at(610'000));
    }
}
