#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

using answered_count = std::optional<result<fleet::waiting_count>>;

/// Asks an owner for the count of waiting jobs. The answer may come later.
std::shared_ptr<answered_count> ask(fleet::fleet_owner& owner)
{
    auto answer = std::make_shared<answered_count>();
    owner.count_waiting(
        queue_name("work"),
        [answer](const result<fleet::waiting_count>& count)
        { *answer = count; });
    return answer;
}

} // namespace

// Guards against a count that leaves out jobs which were stored long ago: the
// owner has not heard one of the topics of jobs since, and counts what it read
// before.
TEST_CASE(
    "a count of waiting jobs leaves out no topic that the owner does not hear",
    "[fleet]")
{
    const std::string topic = GENERATE(from_range(
        fleet::topics::job_topics.begin(), fleet::topics::job_topics.end()));
    const bool silent = GENERATE(false, true);
    constexpr std::size_t jobs = 20;
    fleet_world world(2, 0);
    world.run(1s);
    REQUIRE(world.owner_vm() != nullptr);
    standin::memory_store::client& store = world.owner_vm()->store_client;
    (silent ? store.silent_reads : store.rejected_reads).insert(topic);
    world.run(2s); // The long poll that was in flight ends.
    for (std::size_t n = 0; n < jobs; ++n)
    {
        world.submit("j" + std::to_string(n), {tasks(1)}, "acct", topic);
    }
    world.run(5s);
    REQUIRE(world.owner() != nullptr);
    const auto refused = ask(*world.owner());
    world.run(2s);
    REQUIRE(*refused);
    CHECK((!**refused || (**refused)->waiting == jobs));

    store.silent_reads.clear();
    store.rejected_reads.clear();
    world.run(3s);
    const auto counted = ask(*world.owner());
    world.run(1s);
    REQUIRE(*counted);
    REQUIRE(**counted);
    CHECK((**counted)->waiting == jobs);
    CHECK((**counted)->age <= fleet::longest_count_age);
}

// Guards against a count from the memory of a process that stood still: it
// answers, before anything else, from what it knew before.
TEST_CASE(
    "an owner that stood still gives no count from before its pause", "[fleet]")
{
    constexpr std::size_t jobs = 5;
    fleet_world world(3, 0);
    world.run(1s);
    const std::shared_ptr<fleet::fleet_owner> paused = world.owner();
    REQUIRE(paused != nullptr);
    world.owner_vm()->pause(6s);
    for (std::size_t n = 0; n < jobs; ++n)
    {
        world.submit("j" + std::to_string(n), {tasks(1)});
    }
    world.run(5'900ms);
    const auto answer = ask(*paused);
    world.run(3s);
    REQUIRE(*answer);
    CHECK((!**answer || (**answer)->waiting == jobs));
}

// Guards against jobs that are missing in the count although none of their
// tasks has begun: an order without an answer to a worker that then cannot be
// reached is stored as a possible run, and the next owner takes it for a start.
TEST_CASE(
    "a job waits though a stored absence lists a run that never began",
    "[fleet]")
{
    const worker_id only_worker("w0");
    fleet_world world(2, 1);
    world.run(1s);
    world.workers.faults_of(only_worker).silent = true;
    world.submit("a", {tasks(1)});
    world.run(3s);
    REQUIRE_FALSE(
        world.store.newest(fleet::topics::progress, "away/w0").empty());
    world.owner_vm()->kill();
    world.run(4s);
    REQUIRE(world.owner() != nullptr);
    REQUIRE(world.owner()->loaded());
    REQUIRE(world.starts_of("a").empty());
    const auto answer = ask(*world.owner());
    world.run(1s);
    REQUIRE(*answer);
    REQUIRE(**answer);
    CHECK((**answer)->waiting == 1);
    CHECK(world.view("a").state == fleet::job_state::queued);
}

// Guards against a count from the first of several pages: more jobs were stored
// than one answer of the store holds.
TEST_CASE("a count of waiting jobs is not taken between two pages", "[fleet]")
{
    constexpr std::size_t jobs = 200;
    fleet_world world(2, 0);
    world.store.page_records = 3;
    world.store.latency = 40ms;
    world.run(2s);
    for (std::size_t n = 0; n < jobs; ++n)
    {
        world.submit("j" + std::to_string(n), {tasks(1)});
    }
    world.run(1'200ms);
    std::size_t given = 0;
    for (int n = 0; n < 60; ++n)
    {
        const auto answer = ask(*world.owner());
        world.run(100ms);
        if (*answer && **answer)
        {
            ++given;
            const bool is_recent = n < 8; // Jobs may be missing for 2 s.
            CHECK((is_recent || (**answer)->waiting == jobs));
        }
    }
    CHECK(given > 0);
}
