#include "cli/load/load_report.hpp"
#include "cli/load/load_runner.hpp"
#include "cli/load/load_scenario.hpp"
#include "cli/load/svg_plot.hpp"
#include "support/entry_fixture.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace acaciastile;
using Catch::Matchers::Contains;
using std::chrono::microseconds;
using trompeloeil::_;

namespace
{

const std::string calls =
    R"("calls": [{"name": "r", "weight": 3, "get": "/ready"},)"
    R"({"name": "q", "request": {"queue": "q",)"
    R"("each": {"milli_processors": 1, "memory_mib": 1}}}])";

load_scenario scenario(const std::string& fields)
{
    auto read = parse_load_scenario("{" + fields + "," + calls + "}");
    REQUIRE(read.has_value());
    return *read;
}

} // namespace

TEST_CASE("a scenario is bounded in count and time", "[load]")
{
    const std::string wrong[] = {
        R"("rate": 0)",
        R"("rate": 1e9)",
        R"("rate": 10, "duration": "1h")",
        R"("rate": 10, "duration": "10")",
        R"("rate": 10, "callers": 100000)",
        R"("search": {"from": 10, "to": 5})",
        R"("rate": 10, "colour": 1)",
        R"("seed": 1)"};
    for (const std::string& fields : wrong)
    {
        INFO(fields);
        const auto read = parse_load_scenario("{" + fields + "," + calls + "}");
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().code == refusal_code::invalid_value);
    }
    CHECK_FALSE(parse_load_scenario(R"({"rate": 10, "calls": []})"));
    CHECK(
        parse_load_scenario("{\n\"rate\": ").error().code ==
        refusal_code::malformed);
}

TEST_CASE("the sample scenario can be read", "[load]")
{
    std::ifstream in(
        std::string(ACACIASTILE_SOURCE_DIR) + "/examples/load.json");
    std::ostringstream text;
    text << in.rdbuf();
    const auto read = parse_load_scenario(text.str());
    REQUIRE(read.has_value());
    CHECK(read->search.has_value());
}

TEST_CASE("arrivals follow the seed, the rate and the weights", "[load]")
{
    const auto made = scenario(R"("seed": 3, "rate": 500, "duration": "20s")");
    const auto planned = plan_arrivals(made, made.rate);
    const auto same = plan_arrivals(made, made.rate);
    REQUIRE(planned.size() == same.size());
    CHECK(planned.size() == Approx(10'000).epsilon(0.05));
    std::size_t first = 0;
    for (std::size_t at = 0; at < planned.size(); ++at)
    {
        CHECK(planned[at].at == same[at].at);
        first += planned[at].call == 0 ? 1 : 0;
    }
    CHECK(double(first) / double(planned.size()) == Approx(0.75).margin(0.03));
}

TEST_CASE("percentiles are by nearest rank", "[load]")
{
    std::vector<microseconds> latencies;
    for (int value = 100; value >= 1; --value)
    {
        latencies.emplace_back(value * 1'000);
    }
    const auto made = summarize_latency(latencies);
    CHECK(made.p50_ms == 50);
    CHECK(made.p99_ms == 99);
    CHECK(made.max_ms == 100);
    CHECK(summarize_latency({}).count == 0);
}

TEST_CASE("a report tells what broke the bound", "[load]")
{
    const auto made = scenario(R"("rate": 10, "bound_p99": "10ms")");
    load_sample fast;
    fast.status = 200;
    fast.latency = microseconds(5'000);
    load_sample slow = fast;
    slow.latency = microseconds(50'000);
    load_sample lost;
    lost.effect = verdict::may_have_run;
    const load_run runs[] = {
        {10, {fast}}, {20, {fast, slow}}, {30, {fast, lost}}};
    CHECK(holds_bound(report_run(made, runs[0])));
    CHECK_FALSE(holds_bound(report_run(made, runs[1])));
    CHECK_FALSE(holds_bound(report_run(made, runs[2])));
    const auto report = report_all(made, {runs[0], runs[1]});
    CHECK(report.at("highest_rate_within_bound") == 10);
    CHECK(report.at("rate_that_breaks_it") == 20);
    CHECK_THAT(write_load_report(report), Contains("broken at 20"));
}

TEST_CASE("a run sends every call and keeps every refusal", "[load]")
{
    entry_fixture entry;
    auto answered =
        NAMED_ALLOW_CALL(entry.cell, request(_, _, _, _))
            .SIDE_EFFECT(
                _4(refuse(refusal_code::queue_full, "the queue is full")));
    const auto made =
        scenario(R"("rate": 400, "duration": "250ms", "callers": 4)");
    client_settings target;
    target.address = entry.service->external_address();
    const auto run = run_load(made, made.rate, {target}, "t");
    REQUIRE(run.samples.size() == plan_arrivals(made, made.rate).size());
    for (const load_sample& each : run.samples)
    {
        CHECK(each.status == (each.arrival.call == 0 ? 200 : 429));
        CHECK(each.code == (each.arrival.call == 0 ? "" : "queue_full"));
        CHECK(each.latency.count() > 0);
    }
}

TEST_CASE("a plot is an SVG document with its lines", "[load]")
{
    plot content;
    content.title = "a < b";
    content.series = {{"p99", "red", {{1, 2}, {2, 4}}}, {"none", "blue", {}}};
    const std::string drawn = draw_svg(content);
    CHECK_THAT(drawn, Contains("a &lt; b"));
    CHECK_THAT(drawn, Contains("400.0,210.0 740.0,60.0"));
    CHECK_THAT(drawn, Catch::Matchers::EndsWith("</svg>\n"));
}
