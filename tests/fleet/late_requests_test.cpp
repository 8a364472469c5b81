#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>
#include <optional>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// Four VMs, and callers that cancel jobs whose requests may be stored later.
struct late_world : fleet_world
{
    late_world() : fleet_world(4, 4)
    {
        REQUIRE(run_until_owned());
        run(500ms);
    }

    bool run_until_owned()
    {
        for (int times = 0; times < 200; ++times)
        {
            if (owner() != nullptr && owner()->loaded())
            {
                return true;
            }
            run(100ms);
        }
        return false;
    }

    /// Cancels a job at the present owner and waits for the answer: whether
    /// the job is known. Empty if the answer is an error.
    std::optional<bool> cancel(const std::string& id)
    {
        std::optional<result<bool>> answer;
        owner()->cancel(
            job_id(id), [&](const result<bool>& told) { answer = told; });
        for (int times = 0; times < 100 && !answer; ++times)
        {
            run(20ms);
        }
        REQUIRE(answer.has_value());
        return answer->has_value() ? std::optional(**answer) : std::nullopt;
    }

    void replace_owner()
    {
        owner_vm()->kill();
        run(2s);
        REQUIRE(run_until_owned());
    }
};

} // namespace

// Guards against a job that runs after its cancellation was confirmed: the
// append of its request had no answer and was carried out later (review/9).
TEST_CASE("a request that is stored after its cancel never starts", "[fleet]")
{
    late_world world;
    const bool owner_changes = GENERATE(false, true);
    const bool changes_again = GENERATE(false, true);
    CAPTURE(owner_changes, changes_again);
    CHECK(world.cancel("late") == false);
    if (owner_changes)
    {
        world.replace_owner();
    }
    world.run(5s);
    CHECK_FALSE(world.view("late").known);
    world.submit("late", {tasks(2)});
    if (changes_again)
    {
        world.run(40ms);
        world.replace_owner();
    }
    world.run(5s);
    CHECK(world.starts_of("late").empty());
    CHECK(world.view("late").known);
    CHECK(world.view("late").state == job_state::cancelled);
    CHECK(world.cancel("late") == true);
    // A repeated request is the same job.
    world.submit("late", {tasks(2)});
    world.run(5s);
    CHECK(world.starts_of("late").empty());
    CHECK(world.view("late").state == job_state::cancelled);
    // Others are not affected.
    world.submit("other", {tasks(2)});
    CHECK(world.run_until("other", job_state::completed, 5s));
}

TEST_CASE("a request that is stored during a take-over never starts", "[fleet]")
{
    late_world world;
    CHECK(world.cancel("late") == false);
    world.owner_vm()->kill();
    world.submit("late", {tasks(2)});
    world.run(2s);
    REQUIRE(world.run_until_owned());
    world.run(8s);
    CHECK(world.starts_of("late").empty());
    CHECK(world.view("late").state == job_state::cancelled);
}

TEST_CASE("a cancel is confirmed only once it is stored", "[fleet]")
{
    late_world world;
    std::optional<result<bool>> answer;
    // Reads are answered, appends are refused.
    world.owner_vm()->store_client.rejected_appends = {"keyed.progress"};
    world.owner()->cancel(
        job_id("late"), [&](const result<bool>& told) { answer = told; });
    world.run(500ms);
    CHECK_FALSE(answer.has_value());
    world.owner_vm()->store_client.rejected_appends.clear();
    world.run(500ms);
    REQUIRE(answer.has_value());
    CHECK(answer->value() == false);
    CHECK_FALSE(world.store.newest("keyed.progress", "cancelled/late").empty());
}

TEST_CASE(
    "cancels of jobs that never come are bounded and forgotten", "[fleet]")
{
    late_world world;
    world.settings.max_unseen_cancels = 3;
    world.settings.status_kept = 20s;
    world.replace_owner();
    for (const char* id : {"a", "b", "c"})
    {
        CHECK(world.cancel(id) == false);
    }
    CHECK_FALSE(world.cancel("d").has_value());
    CHECK(world.cancel("a") == false);
    CHECK_FALSE(world.view("a").known);
    world.run(25s);
    CHECK(world.store.newest("keyed.progress", "cancelled/a").empty());
    CHECK(world.cancel("d") == false);
    world.submit("a", {tasks(2)});
    CHECK(world.run_until("a", job_state::completed, 5s));
}

TEST_CASE("a job that is known is cancelled as before", "[fleet]")
{
    late_world world;
    world.submit("known", {tasks(2)});
    world.run(300ms);
    CHECK(world.cancel("known") == true);
    CHECK(world.store.newest("keyed.progress", "cancelled/known").empty());
    CHECK(world.view("known").state == job_state::cancelled);
}
