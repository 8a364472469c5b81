#include "observe/metrics.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace acaciastile;
using Catch::Matchers::Contains;

TEST_CASE("counters and distributions are exposed as text", "[metrics]")
{
    auto collected = metrics::create();
    collected->count("http_refusals", "malformed", 2);
    collected->gauge("log_age_ms", "", 1.5);
    for (int value = 1; value <= 10; ++value)
    {
        collected->sample("http_seconds", "submit", value);
    }
    const std::string text = collected->expose();
    CHECK_THAT(
        text,
        Contains("acaciastile_http_refusals_total{code=\"malformed\"} 2\n"));
    CHECK_THAT(text, Contains("acaciastile_log_age_ms 1.5\n"));
    CHECK_THAT(
        text,
        Contains("acaciastile_http_seconds{route=\"submit\","
                 "quantile=\"0.5\"} 5\n"));
    CHECK_THAT(
        text,
        Contains("acaciastile_http_seconds_count{route=\"submit\"} 10\n"));
}

TEST_CASE("the estimated p99 is close to the exact value", "[metrics]")
{
    auto collected = metrics::create();
    constexpr int samples = 10'000;
    constexpr int step = 7919; // Coprime to `samples`: no value repeats.
    for (int index = 0; index < samples; ++index)
    {
        collected->sample("http_seconds", "", index * step % samples);
    }
    const std::string text = collected->expose();
    const std::string series = "acaciastile_http_seconds{quantile=\"0.99\"} ";
    const auto found = text.find(series);
    REQUIRE(found != std::string::npos);
    const double p99 = std::stod(text.substr(found + series.size()));
    CHECK(p99 == Approx(9'900).margin(100));
}

TEST_CASE("counts from concurrent threads are summed", "[metrics]")
{
    auto collected = metrics::create();
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number)
    {
        threads.emplace_back(
            [&]
            {
                for (int iteration = 0; iteration < 1'000; ++iteration)
                {
                    collected->count("placements", "", 1);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(collected->total("placements") == 4'000);
}

// Guards against counts that stand still for thousands of events: beyond a
// million they had six digits.
TEST_CASE("counts beyond a million are exposed in full", "[metrics]")
{
    auto collected = metrics::create();
    collected->count("fleet_starts", "", 12'345'678);
    collected->gauge("log_lines", "", 3'000'001);
    const std::string text = collected->expose();
    CHECK_THAT(text, Contains("acaciastile_fleet_starts_total 12345678\n"));
    CHECK_THAT(text, Contains("acaciastile_log_lines 3000001\n"));
}
