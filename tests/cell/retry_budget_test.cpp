#include "cell/retry_budget.hpp"

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
    "the budget starts at the floor and refills to it over time", "[retry]")
{
    retry_budget budget = retry_budget::create({}, at(0));
    for (int n = 0; n < 10; ++n)
    {
        CHECK(budget.take_retry(at(0)));
    }
    CHECK_FALSE(budget.take_retry(at(0)));
    CHECK_FALSE(budget.take_retry(at(999)));
    CHECK(budget.take_retry(at(1'000)));
    CHECK_FALSE(budget.take_retry(at(1'000)));
    CHECK(budget.take_retry(at(3'600'000)));
    CHECK(budget.left() == Approx(9.0));
}

TEST_CASE("first calls add retries up to the cap", "[retry]")
{
    retry_budget budget = retry_budget::create({}, at(0));
    for (int n = 0; n < 100'000; ++n)
    {
        budget.first_call(at(0));
    }
    CHECK(budget.left() == Approx(100.0));
    CHECK(budget.take_retry(at(5'000)));
    CHECK(budget.left() == Approx(99.0));
}

TEST_CASE("a clock that runs backwards adds no retries", "[retry]")
{
    retry_budget budget = retry_budget::create({}, at(10'000));
    while (budget.take_retry(at(10'000)))
    {
    }
    CHECK_FALSE(budget.take_retry(at(0)));
    CHECK_FALSE(budget.take_retry(at(10'500)));
}

TEST_CASE("retries never exceed what was earned", "[retry][property]")
{
    const retry_budget_settings settings;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        std::mt19937_64 random(seed);
        retry_budget budget = retry_budget::create(settings, at(0));
        std::int64_t now = 0;
        std::int64_t calls = 0;
        std::int64_t retries = 0;
        for (int step = 0; step < 2'000; ++step)
        {
            now += static_cast<std::int64_t>(random() % 50);
            ++calls;
            budget.first_call(at(now));
            while (random() % 4 != 0 && budget.take_retry(at(now)))
            {
                ++retries;
            }
            const double earned =
                settings.floor +
                settings.per_call * static_cast<double>(calls) +
                settings.per_second * static_cast<double>(now) / 1'000.0;
            REQUIRE(static_cast<double>(retries) <= earned + 1e-6);
            REQUIRE(budget.left() >= 0.0);
            REQUIRE(budget.left() <= settings.cap);
        }
    }
}
