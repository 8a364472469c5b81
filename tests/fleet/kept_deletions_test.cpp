#include "support/fleet_world.hpp"

#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using standin::store_mode;

namespace
{

/// Ends jobs whose requests are in two topics and cannot be deleted there.
void end_jobs(fleet_world& world, std::size_t count)
{
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{50ms, false};
    };
    for (const char* id : {"w0", "w1", "w2", "w3"})
    {
        world.add_worker(id, "r1-1", 128, 512);
    }
    world.run(500ms);
    for (const char* topic : fleet::topics::job_topics)
    {
        world.owner_vm()->store_client.rejected_appends.insert(topic);
    }
    for (std::size_t n = 0; n < count; ++n)
    {
        const std::string id = "job" + std::to_string(n);
        world.submit(id, {tasks(1)});
        world.submit(id, {tasks(1)}, "acct", fleet::topics::job_topics[1]);
    }
    world.run(20s);
    for (std::size_t n = 0; n < count; ++n)
    {
        REQUIRE(
            world.view("job" + std::to_string(n)).state ==
            fleet::job_state::completed);
    }
}

} // namespace

// Guards against an owner that passes its memory while the store is away: each
// topic that failed to delete a request put its job back into the list of
// deletions by itself, and the list doubled with every try.
TEST_CASE("a job waits for its deletions once, however long", "[fleet]")
{
    const std::size_t count = GENERATE(400U, 5'000U);
    const auto mode = GENERATE(
        store_mode::silent,
        store_mode::refusing,
        store_mode::losing_answers,
        store_mode::applying_late);
    CAPTURE(count, static_cast<int>(mode));
    fleet_world world(1, 0);
    end_jobs(world, count);
    world.store.calls.largest_append = 0;
    world.store.mode = mode;
    for (auto& vm : world.vms)
    {
        vm->store_client.rejected_appends.clear();
    }
    for (milliseconds away{0}; away < 10min; away += 1s)
    {
        world.run(1s);
        REQUIRE(world.store.calls.largest_append <= count);
    }
    world.store.mode = store_mode::healthy;
    const std::array<log_offset, 2> ends{
        world.store.end(fleet::topics::job_topics[0]),
        world.store.end(fleet::topics::job_topics[1])};
    world.run(20s);
    const bool is_executed =
        mode != store_mode::silent && mode != store_mode::refusing;
    // The last try of the outage may be carried out beside the one that is
    // answered.
    const std::size_t most =
        mode == store_mode::applying_late ? 2 * count : count;
    for (std::size_t topic = 0; topic < ends.size(); ++topic)
    {
        const log_offset deleted =
            world.store.end(fleet::topics::job_topics[topic]) - ends[topic];
        CHECK(deleted <= most);
        CHECK(deleted >= (is_executed ? 0 : count));
    }
    for (std::size_t n = 0; n < count; ++n)
    {
        const std::string id = "job" + std::to_string(n);
        REQUIRE(world.store.newest(fleet::topics::jobs, id).empty());
    }
    CHECK(world.store.calls.largest_append <= count);
}
