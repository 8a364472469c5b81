#include "observe/metrics.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace acaciastile;
using Catch::Matchers::Contains;

TEST_CASE("counters and distributions are exposed as text", "[metrics]")
{
    auto measured = metrics::create();
    measured->count("http_refusals", "malformed", 2);
    measured->gauge("log_age_ms", "", 1.5);
    for (int value = 1; value <= 10; ++value)
    {
        measured->sample("http_seconds", "submit", value);
    }
    const std::string text = measured->expose();
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

TEST_CASE("the estimated tail stays near the true one", "[metrics]")
{
    auto measured = metrics::create();
    constexpr int samples = 10'000;
    constexpr int step = 7919; // Prime: visits every value once.
    for (int index = 0; index < samples; ++index)
    {
        measured->sample("http_seconds", "", index * step % samples);
    }
    const std::string text = measured->expose();
    const std::string wanted = "acaciastile_http_seconds{quantile=\"0.99\"} ";
    const auto at = text.find(wanted);
    REQUIRE(at != std::string::npos);
    const double tail = std::stod(text.substr(at + wanted.size()));
    CHECK(tail == Approx(9'900).margin(100));
}

TEST_CASE("counts of several threads add up", "[metrics]")
{
    auto measured = metrics::create();
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; ++number)
    {
        threads.emplace_back(
            [&]
            {
                for (int turn = 0; turn < 1'000; ++turn)
                {
                    measured->count("placements", "", 1);
                }
            });
    }
    for (std::thread& each : threads)
    {
        each.join();
    }
    CHECK(measured->total("placements") == 4'000);
}
