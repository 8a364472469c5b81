#include "cell/backoff.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace acaciastile;

TEST_CASE("delays stay within the doubling bound and the cap", "[backoff]")
{
    const backoff_settings settings{milliseconds{100}, milliseconds{10'000}};
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
    {
        backoff delays = backoff::create(settings, seed);
        for (std::uint32_t n = 0; n < 100; ++n)
        {
            const auto doubled = 100LL << std::min(n, 20U);
            const auto bound = std::min<long long>(10'000, doubled);
            const milliseconds delay = delays.next_delay();
            REQUIRE(delay.count() >= 0);
            REQUIRE(delay.count() <= bound);
        }
        REQUIRE(delays.failures() == 100);
    }
}

TEST_CASE("delays spread over the whole range", "[backoff]")
{
    const backoff_settings settings{milliseconds{1'000}, milliseconds{1'000}};
    backoff delays = backoff::create(settings, 7);
    milliseconds sum{0};
    milliseconds least = milliseconds::max();
    milliseconds most{0};
    for (int n = 0; n < 10'000; ++n)
    {
        const milliseconds delay = delays.next_delay();
        sum += delay;
        least = std::min(least, delay);
        most = std::max(most, delay);
    }
    CHECK(sum.count() / 10'000 > 480);
    CHECK(sum.count() / 10'000 < 520);
    CHECK(least < milliseconds{10});
    CHECK(most > milliseconds{990});
}

TEST_CASE("reset returns to the base; a seed repeats its delays", "[backoff]")
{
    backoff first = backoff::create({}, 42);
    backoff second = backoff::create({}, 42);
    for (int n = 0; n < 20; ++n)
    {
        CHECK(first.next_delay() == second.next_delay());
    }
    first.reset();
    CHECK(first.failures() == 0);
    CHECK(first.next_delay() <= milliseconds{100});
}

TEST_CASE("a wide base and cap never overflow", "[backoff]")
{
    const milliseconds most = milliseconds::max();
    backoff delays = backoff::create({most / 3, most}, 3);
    for (int n = 0; n < 10; ++n)
    {
        CHECK(delays.next_delay() >= milliseconds{0});
    }
}
