#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::evacuation_table;
using fleet::job_state;

namespace
{

/// Two VMs, and two data centres `r1` and `r2` of two workers each.
struct two_data_centres : fleet_world
{
    two_data_centres() : fleet_world(2, 2)
    {
        add_worker("x0", "r2-1");
        add_worker("x1", "r2-1");
        workers.behaviour = [this](const fleet::task_ref&) {
            return standin::task_behaviour{work, false};
        };
        run(500ms);
        REQUIRE(owner_vm() != nullptr);
    }

    /// Runs that were started in `r1` at or after an instant.
    [[nodiscard]] std::size_t started_in_r1_since(instant since) const
    {
        std::size_t count = 0;
        for (const standin::worker_event& each : workers.events())
        {
            count += each.what == standin::worker_event::kind::started &&
                             each.at >= since && each.worker.str()[0] == 'w'
                         ? 1
                         : 0;
        }
        return count;
    }

    void kill_owner()
    {
        vm* found = owner_vm();
        REQUIRE(found != nullptr);
        found->kill();
    }

    milliseconds work{400};
};

/// Time in which an owner hears of a record.
constexpr milliseconds heard{100};

evacuation_table::entry
request(const std::string& name, log_offset offset, bool evacuated = true)
{
    return {data_centre_name(name), offset, evacuated};
}

} // namespace

TEST_CASE("records of evacuations apply in the order of their offsets")
{
    evacuation_table table;
    CHECK(table.apply(request("a", 5)));
    CHECK_FALSE(table.apply(request("a", 6)));
    CHECK(table.apply(request("a", 8, false)));
    CHECK_FALSE(table.apply(request("a", 7)));
    CHECK(table.all().empty());
}

TEST_CASE("a reload of the operators' records finds withdrawn evacuations")
{
    evacuation_table table;
    table.apply(request("a", 5));
    table.apply(request("b", 6));
    table.apply(request("c", 20));
    // The records that withdraw `a` were deleted before they were read.
    CHECK(table.load({request("b", 6)}, 15));
    CHECK_FALSE(table.contains(data_centre_name("a")));
    CHECK(table.contains(data_centre_name("b")));
    CHECK(table.contains(data_centre_name("c")));
    // An answer that was overtaken, and a record that was replaced.
    CHECK_FALSE(table.load({request("a", 5)}, 10));
    CHECK_FALSE(table.apply(request("a", 5)));
    CHECK_FALSE(table.contains(data_centre_name("a")));
}

TEST_CASE("nothing starts in an evacuated data centre until it is withdrawn")
{
    two_data_centres world;
    world.work = 3s;
    world.submit("before", {tasks(40, 1)});
    world.run(300ms);
    REQUIRE(world.started_in_r1_since({}) > 0);
    world.evacuate("r1");
    world.run(heard);
    const instant known = world.clock.now();
    world.work = 400ms;
    world.submit("after", {tasks(60, 1)});
    // The runs that are there end by themselves.
    REQUIRE(world.run_until("before", job_state::completed, 10s));
    REQUIRE(world.run_until("after", job_state::completed, 10s));
    CHECK(world.started_in_r1_since(known) == 0);
    CHECK(world.events.count(event_number::run_stopped) == 0);
    CHECK(world.events.count(event_number::evacuation_begun) == 1);
    const std::string dump = world.owner()->describe();
    CHECK(dump.find(" evacuated=r1") != std::string::npos);
    CHECK(dump.find(" median_ms=work:") != std::string::npos);

    world.evacuate("r1", false);
    world.run(heard);
    const instant withdrawn = world.clock.now();
    world.submit("later", {tasks(60, 1)});
    REQUIRE(world.run_until("later", job_state::completed, 10s));
    CHECK(world.started_in_r1_since(withdrawn) > 0);
    CHECK(world.events.count(event_number::evacuation_ended) == 1);
}

TEST_CASE("an evacuation holds when the owner dies before it hears of it")
{
    two_data_centres world;
    world.evacuate("r1");
    world.kill_owner();
    const instant requested = world.clock.now();
    world.submit("a", {tasks(40, 1)});
    REQUIRE(world.run_until("a", job_state::completed, 20s));
    CHECK(world.started_in_r1_since(requested) == 0);
}

TEST_CASE("a successor reads of an evacuation before its first start")
{
    // The phase of the watches' long polls when the owner dies.
    const auto phase = GENERATE(0ms, 100ms, 200ms, 300ms, 400ms, 500ms, 600ms);
    two_data_centres world;
    world.run(phase);
    world.submit("a", {tasks(40, 1)});
    world.kill_owner();
    while (world.owner() == nullptr)
    {
        world.run(1ms);
    }
    // It has just begun to load, and its watch is in the middle of a long poll.
    world.store.long_polls_ignore_appends = true;
    world.evacuate("r1");
    const instant requested = world.clock.now();
    while (world.starts_of("a").empty())
    {
        world.run(1ms);
        REQUIRE(world.clock.now() - requested < 600ms);
    }
    CHECK(world.started_in_r1_since(requested) == 0);
}

TEST_CASE("an evacuation outlives two owners and the log that told of it")
{
    two_data_centres world;
    world.evacuate("r1");
    world.run(heard);
    const instant requested = world.clock.now();
    world.store.truncate_before("operators", world.store.end("operators"));
    for (const char* job : {"a", "b"})
    {
        fleet_world::vm* owner = world.owner_vm();
        REQUIRE(owner != nullptr);
        owner->kill();
        owner->start();
        world.submit(job, {tasks(40, 1)});
        REQUIRE(world.run_until(job, job_state::completed, 20s));
    }
    CHECK(world.started_in_r1_since(requested) == 0);
    world.evacuate("r1", false);
    world.run(heard);
    world.submit("c", {tasks(60, 1)});
    REQUIRE(world.run_until("c", job_state::completed, 20s));
    CHECK(world.started_in_r1_since(requested) > 0);
}

TEST_CASE("an evacuation that was requested while the store was away holds "
          "soon after its return")
{
    two_data_centres world;
    world.store.mode = standin::store_mode::silent;
    world.run(200ms);
    world.evacuate("r1");
    world.run(2s);
    world.store.mode = standin::store_mode::healthy;
    world.run(3s);
    const instant since = world.clock.now();
    world.submit("a", {tasks(40, 1)});
    REQUIRE(world.run_until("a", job_state::completed, 20s));
    CHECK(world.started_in_r1_since(since) == 0);
}

TEST_CASE("an evacuation goes on while the store is away")
{
    two_data_centres world;
    world.work = 100ms;
    world.submit("a", {tasks(4'000, 4)});
    world.run(500ms);
    world.evacuate("r1");
    world.run(heard);
    const instant known = world.clock.now();
    const auto started_before = world.workers.events().size();
    world.store.mode = standin::store_mode::refusing;
    world.run(3s);
    CHECK(world.workers.events().size() > started_before);
    CHECK(world.started_in_r1_since(known) == 0);
}

TEST_CASE("of two overlapping evacuations one can be withdrawn")
{
    two_data_centres world;
    world.add_worker("y0", "r3-1");
    world.evacuate("r1");
    world.run(heard);
    world.evacuate("r2");
    world.run(heard);
    world.evacuate("r2", false);
    world.evacuate("r1");
    world.run(heard);
    const instant since = world.clock.now();
    world.submit("a", {tasks(120, 1)});
    REQUIRE(world.run_until("a", job_state::completed, 20s));
    CHECK(world.started_in_r1_since(since) == 0);
}

TEST_CASE("jobs wait while all data centres are evacuated")
{
    two_data_centres world;
    world.evacuate("r1");
    world.evacuate("r2");
    world.run(heard);
    world.submit("a", {tasks(8, 1)});
    world.run(5s);
    CHECK(world.starts_of("a").empty());
    CHECK(world.view("a").state == job_state::queued);
    // A worker that joins an evacuated data centre gets nothing either.
    world.add_worker("w9", "r1-9");
    world.run(2s);
    CHECK(world.starts_of("a").empty());
    world.evacuate("r2", false);
    REQUIRE(world.run_until("a", job_state::completed, 5s));
    CHECK(world.broken_promises().empty());
}

TEST_CASE("a gang gives up its reservation in an evacuated data centre")
{
    two_data_centres world;
    world.work = 2s;
    world.submit("small", {tasks(56, 1)});
    world.run(300ms);
    fleet::step_spec gang = tasks(3, 10);
    gang.gang = true;
    world.submit("gang", {gang});
    world.run(300ms);
    REQUIRE(world.starts_of("gang").empty());
    world.evacuate("r2");
    world.run(heard);
    const instant known = world.clock.now();
    world.add_worker("w8", "r1-2");
    REQUIRE(world.run_until("gang", job_state::completed, 20s));
    for (std::uint32_t member = 0; member < 3; ++member)
    {
        const auto starts = world.starts_of("gang", member);
        REQUIRE(starts.size() == 1);
        CHECK(starts.front().at >= known);
        CHECK(starts.front().worker.str()[0] == 'w');
    }
}

TEST_CASE("a start without an answer is not repeated in an evacuated data "
          "centre")
{
    two_data_centres world;
    world.evacuate("r2");
    world.run(heard);
    for (const char* id : {"w0", "w1"})
    {
        world.workers.faults_of(worker_id(id)).silent = true;
    }
    world.submit("a", {tasks(2, 1)});
    world.run(100ms);
    const std::uint64_t unanswered =
        world.events.count(event_number::run_started);
    REQUIRE(unanswered == 2);
    world.evacuate("r1");
    world.evacuate("r2", false);
    world.run(heard);
    for (const char* id : {"w0", "w1"})
    {
        world.workers.faults_of(worker_id(id)).silent = false;
    }
    const instant known = world.clock.now();
    REQUIRE(world.run_until("a", job_state::completed, 30s));
    CHECK(world.started_in_r1_since(known) == 0);
    CHECK(world.broken_promises().empty());
}
