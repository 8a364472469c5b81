#include "platform/answer_codec.hpp"
#include "platform/edge_settings.hpp"
#include "platform/message_codec.hpp"
#include "platform/registration_codec.hpp"
#include "platform/worker_status_codec.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace acaciastile;
using namespace std::chrono_literals;

namespace
{

/// A field and a value of it, as JSON.
struct odd_value
{
    const char* field;
    std::string value;
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// A registry entry with one field replaced, or added.
std::string entry_with(const odd_value& odd)
{
    nlohmann::json entry = nlohmann::json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z",
        "state":"ready","born":5,"coldLeftMs":0,"seqNo":4,"slots":8,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":0},
        "labels":["a","r1-3"]})");
    // As text: nested values must not be copied, and numbers stay as they are.
    std::string text = "{";
    for (const auto& [name, value] : entry.items())
    {
        if (name != odd.field)
        {
            text += "\"" + name + "\":" + value.dump() + ",";
        }
    }
    return text + "\"" + odd.field + "\":" + odd.value + "}";
}

} // namespace

// Guards against processes that end, or a fleet that seems to have all the room
// in the world, because another system wrote an entry of the registry.
TEST_CASE("a registry entry out of range names no worker", "[site]")
{
    REQUIRE(site::decode_registration("i-1", entry_with({"seqNo", "7"}))
                .has_value());
    const auto odd = GENERATE(
        odd_value{"capacity", R"({"cpu":1e300,"memMb":1e300})"},
        odd_value{"capacity", R"({"cpu":9223372036854775807})"},
        odd_value{"capacity", R"({"cpu":9223372036854775808})"},
        odd_value{"capacity", R"({"cpu":1000,"memMb":1073741825})"},
        odd_value{"capacity", R"({"cpu":-1})"},
        odd_value{"capacity", R"({"cpu":0.5})"},
        odd_value{"capacity", R"({"cpu":"16000"})"},
        odd_value{"capacity", "[]"},
        odd_value{"capacity", nested(200'000)},
        odd_value{"born", "1e300"},
        odd_value{"born", "1.5"},
        odd_value{"born", "-5"},
        odd_value{"born", "18446744073709551615"},
        odd_value{"born", "true"},
        odd_value{"coldLeftMs", "1e300"},
        odd_value{"coldLeftMs", "9223372036854775807"},
        odd_value{"remainingMs", "-1e300"},
        odd_value{"remainingMs", "{}"},
        odd_value{"address", R"("127.0.0.1:99999")"},
        odd_value{"address", R"("127.0.0.1:0")"},
        odd_value{"address", R"("127.0.0.1")"},
        odd_value{"address", R"("127.0.0.1:-80")"},
        odd_value{"address", R"("worker.example:80")"},
        odd_value{"address", R"("10.0.0.1:80\r\nX: y")"},
        odd_value{"address", "7"},
        odd_value{"state", R"("odd")"},
        odd_value{"service", R"("")"},
        odd_value{"service", "\"" + std::string(300, 's') + "\""},
        odd_value{"zone", nested(200'000)},
        odd_value{"labels", "[7]"},
        odd_value{"labels", nested(200'000)});
    INFO(odd.field << ' ' << odd.value.substr(0, 60));
    const auto read = site::decode_registration("i-1", entry_with(odd));
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().code == refusal_code::malformed);
    // The reason names the field.
    CHECK(read.error().message.find(odd.field) != std::string::npos);
    // The JSON library refuses a text with a number beyond any double.
    CHECK_FALSE(site::decode_registration(
                    "i-1", entry_with({"capacity", R"({"cpu":1e400})"}))
                    .has_value());
}

TEST_CASE("a registry entry may have unknown fields of any kind", "[site]")
{
    for (const std::string& value :
         {nested(200'000),
          std::string("1e300"),
          std::string("18446744073709551615"),
          std::string(R"({"a":{"b":[null]}})")})
    {
        CHECK(site::decode_registration("i-1", entry_with({"new", value}))
                  .has_value());
    }
    // Less time than none is none.
    const auto read =
        site::decode_registration("i-1", entry_with({"remainingMs", "-3.5"}));
    REQUIRE(read.has_value());
    CHECK(read->remaining == 0ms);
}

// An id is sent in headers and JSON texts.
TEST_CASE("a key that is no id names no worker", "[site]")
{
    const std::string entry = entry_with({"seqNo", "7"});
    for (const std::string& key :
         {std::string(),
          std::string("i 1"),
          std::string("i\r\nX: y"),
          std::string("\xff\xfe"),
          std::string("i\0", 2),
          std::string(129, 'i')})
    {
        CHECK_FALSE(site::decode_registration(key, entry).has_value());
    }
    CHECK(site::decode_registration(std::string(128, 'i'), entry).has_value());
}

TEST_CASE("a worker's status out of range is malformed", "[site]")
{
    for (const char* body :
         {R"({"born":1e300})",
          R"({"born":18446744073709551615})",
          R"({"born":1.5})",
          R"({"clockMs":1e300})",
          R"({"clockMs":-1})",
          R"({"running":[["5c0e7a21d94b36f8.0.1.17",1e300,"",41]]})",
          R"({"running":[["5c0e7a21d94b36f8.0.1.17",2.5,"",41]]})",
          R"({"running":[["5c0e7a21d94b36f8.0.1.99999999999",2,"",41]]})",
          R"({"finished":[[-1,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"})
    {
        INFO(body);
        CHECK_FALSE(site::decode_worker_status(body).has_value());
    }
    CHECK(site::decode_worker_status(
              R"({"born":7,"new":)" + nested(200'000) + "}")
              .has_value());
    CHECK_FALSE(site::decode_worker_status(
                    R"({"born":7,"running":)" + nested(200'000) + "}")
                    .has_value());
}

// Guards against a process that ends by an exception of the JSON library.
TEST_CASE("answers with fields of another type are read as such", "[site]")
{
    const std::string deep = nested(200'000);
    CHECK(
        site::decode_start_refusal(R"({"reason":"room"})") ==
        fleet::start_refusal::no_room);
    CHECK(
        site::decode_worker_clock(R"({"clockMs":12.9})") ==
        worker_instant(12ms));
    for (const std::string& value :
         {std::string("7"),
          std::string("[]"),
          std::string("{}"),
          std::string("1e300"),
          std::string("true"),
          deep})
    {
        INFO(value.substr(0, 20));
        CHECK(
            site::decode_start_refusal("{\"reason\":" + value + "}") ==
            fleet::start_refusal::unhealthy);
        if (value != "7")
        {
            CHECK_FALSE(site::decode_worker_clock("{\"clockMs\":" + value + "}")
                            .has_value());
        }
        CHECK_FALSE(site::decode_permits(
                        "{\"validMs\":\"7\",\"allowed\":" + value + "}")
                        .has_value());
    }
    CHECK(site::decode_permits("{}")->allowed.empty());
    const auto permits = site::decode_permits(
        R"({"validMs":5,"allowed":[["a","t"],7,["b"],["c",1],)" + deep + "]}");
    REQUIRE(permits.has_value());
    CHECK(permits->allowed.size() == 1);
    for (const std::string& body : {std::string(), deep, std::string("\xff")})
    {
        CHECK_FALSE(site::decode_permits(body).has_value());
        CHECK_FALSE(site::decode_worker_clock(body).has_value());
        CHECK_FALSE(site::decode_worker_status(body).has_value());
        CHECK_FALSE(site::decode_job_request(body).has_value());
        CHECK_FALSE(site::decode_configuration(body).has_value());
        CHECK_FALSE(site::decode_registration("i-1", body).has_value());
    }
}

TEST_CASE("a job whose numbers are out of range is malformed", "[site]")
{
    const auto job_with = [](const std::string& step, const std::string& more) {
        return R"({"taskSpec":"x","steps":[{"count":1)" + step + "}]" + more +
               "}";
    };
    REQUIRE(site::decode_job_request(job_with("", "")).has_value());
    for (const char* step :
         {R"(,"cpu":1e300)",
          R"(,"cpu":9223372036854775807)",
          R"(,"memMb":1.5)",
          R"(,"gpu":-1)",
          R"(,"estRuntimeMs":1e300)",
          R"(,"estRuntimeMs":-1)",
          R"(,"targetMs":9223372036854775807)",
          R"(,"antiAffinity":4294967296)",
          R"(,"mayMiss":-1)",
          R"(,"after":[0])",
          R"(,"after":[-1])",
          R"(,"count":10001)"})
    {
        INFO(step);
        CHECK_FALSE(site::decode_job_request(job_with(step, "")).has_value());
    }
    for (const char* more :
         {R"(,"repeatCount":4294967296)",
          R"(,"repeatCount":1.5)",
          R"(,"startAtMs":1e300)",
          R"(,"startAtMs":-1e300)",
          R"(,"intervalMs":9223372036854775807)"})
    {
        INFO(more);
        CHECK_FALSE(site::decode_job_request(job_with("", more)).has_value());
    }
    const std::string deep = ",\"new\":" + nested(200'000);
    CHECK(site::decode_job_request(job_with(deep, deep)).has_value());
}

// Guards against owners that end one after the other: the tasks of all
// occurrences that are due are kept in memory.
TEST_CASE("a job with more tasks than an owner can keep is malformed", "[site]")
{
    CHECK(site::decode_job_request(
              R"({"steps":[{"count":10}],"repeatCount":10000})")
              .has_value());
    CHECK_FALSE(site::decode_job_request(
                    R"({"steps":[{"count":10}],"repeatCount":10001})")
                    .has_value());
    CHECK_FALSE(site::decode_job_request(
                    R"({"steps":[{"count":1}],"repeatCount":4294967295})")
                    .has_value());
    std::string steps = "{\"count\":10000}";
    for (int more = 0; more < 10; ++more)
    {
        steps += ",{\"count\":10000}";
    }
    CHECK_FALSE(
        site::decode_job_request("{\"steps\":[" + steps + "]}").has_value());
}

TEST_CASE("a configuration out of range is malformed", "[site]")
{
    REQUIRE(site::decode_configuration(
                R"({"version":7,"routes":[{"name":"r","stretch":4.0,
                "advice":{"decisionMs":82.0,"periodMs":1.2,"validMs":1500}}],
                "tenants":[{"name":"t","weight":31,
                "cap":{"cpu":870064,"memMb":1068496}}]})")
                .has_value());
    for (const char* text :
         {R"({"version":-1})",
          R"({"version":1e300})",
          R"({"routes":[{"attempts":4294967296}]})",
          R"({"routes":[{"stretch":1e300}]})",
          R"({"routes":[{"timeoutMs":1e300}]})",
          R"({"routes":[{"advice":{"decisionMs":1e300}}]})",
          R"({"routes":[7]})",
          R"({"tenants":[{"weight":-1}]})",
          R"({"tenants":[{"cap":{"cpu":1e300}}]})"})
    {
        INFO(text);
        CHECK_FALSE(site::decode_configuration(text).has_value());
    }
}

TEST_CASE("settings out of range are refused", "[site]")
{
    const std::string good =
        "node=n\nzone=z\nip=10.0.0.1\nlistenAddrs.front=10.0.0.1:80\n"
        "listenAddrs.ready=10.0.0.1:81\ninternalPorts=7420,7435\n"
        "platform.address=10.0.0.2:80\n";
    REQUIRE(site::decode_edge_settings(good).has_value());
    for (const char* line :
         {"bounds.graceS=1e300",
          "bounds.graceS=inf",
          "bounds.graceS=nan",
          "bounds.maxHoldMs=-1",
          "platform.requestBytes=1e300",
          "limits.cpuShare=nan"})
    {
        INFO(line);
        CHECK_FALSE(site::decode_edge_settings(good + line + "\n").has_value());
    }
}
