#include "platform/embedded/fault_command.hpp"
#include "platform/embedded/stand_in_platform.hpp"

#include <catch2/catch.hpp>
#include <set>

using namespace acaciastile;

namespace
{

/// One well-formed command of each kind.
const std::vector<std::string> commands{
    R"({"fault": "log_down"})",
    R"({"fault": "log_reads_fail", "on": false})",
    R"({"fault": "log_append_time", "each_ms": 3})",
    R"({"fault": "log_refuse_appends", "count": 2})",
    R"({"fault": "log_lose_answers", "count": 1, "manner": "never"})",
    R"({"fault": "log_retention", "entries": 5, "age_ms": 1000})",
    R"({"fault": "cut", "left": "entry-1", "right": "log"})",
    R"({"fault": "heal"})",
    R"({"fault": "group", "endpoint": "entry-1", "name": "almaty-1"})",
    R"({"fault": "slow", "endpoint": "log", "extra_ms": 50})",
    R"({"fault": "pause", "endpoint": "w1"})",
    R"({"fault": "vm_list_lag", "lag_ms": 5000})",
    R"({"fault": "vm_list_down"})",
    R"({"fault": "vm_set", "name": "w2", "role": "worker",
        "data_centre": "almaty-1", "address": "127.0.0.1:1"})",
    R"({"fault": "vm_leaving", "name": "w2"})",
    R"({"fault": "vm_remove", "name": "w2"})",
    R"({"fault": "worker_add", "worker": "w2", "capacity":
        {"milli_processors": 1000, "memory_mib": 512, "accelerators": 0}})",
    R"({"fault": "worker_kill", "worker": "w1"})",
    R"({"fault": "worker_lose_answers", "worker": "w1", "count": 3})",
    R"({"fault": "worker_fails_everything", "worker": "w1"})",
    R"({"fault": "worker_leaving", "worker": "w1"})",
    R"({"fault": "worker_drift", "worker": "w1", "parts_per_million": 200})",
    R"({"fault": "worker_clock_pause", "worker": "w1"})",
    R"({"fault": "worker_remove", "worker": "w1"})"};

} // namespace

TEST_CASE("every fault can be commanded by name", "[fault]")
{
    timer_queue timers;
    stand_in_platform platform(timers);
    embedded_worker_settings worker;
    worker.id = worker_id("w1");
    platform.workers.add(worker);
    std::set<std::size_t> kinds;
    for (const std::string& text : commands)
    {
        INFO(text);
        const auto command = parse_fault(text);
        REQUIRE(command.has_value());
        kinds.insert(command->index());
        CHECK(apply_fault(platform, *command).has_value());
    }
    CHECK(kinds.size() == std::variant_size_v<fault_command>);
    CHECK(platform.workers.find(worker_id("w1")) == nullptr);
    CHECK(platform.workers.find(worker_id("w2")) != nullptr);
}

TEST_CASE("a command that is not understood is refused", "[fault]")
{
    CHECK(parse_fault("{").error().code == refusal_code::malformed);
    for (const char* text :
         {R"([])",
          R"({"fault": "unheard_of"})",
          R"({"fault": "slow", "endpoint": "log"})",
          R"({"fault": "log_down", "of": true})",
          R"({"fault": "log_lose_answers", "probability": 2.0})",
          R"({"fault": "worker_drift", "worker": "w1",
              "parts_per_million": -1000000})"})
    {
        INFO(text);
        const auto command = parse_fault(text);
        REQUIRE_FALSE(command.has_value());
        CHECK(command.error().code == refusal_code::invalid_value);
    }
}

TEST_CASE("a command for an unknown worker is refused", "[fault]")
{
    timer_queue timers;
    stand_in_platform platform(timers);
    const auto applied =
        apply_fault(platform, fault::worker_kill{worker_id("w9")});
    REQUIRE_FALSE(applied.has_value());
    CHECK(applied.error().code == refusal_code::unknown_worker);
}
