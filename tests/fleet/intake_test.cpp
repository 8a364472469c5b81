#include "fleet/intake.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::intake_outcome;

namespace
{

fleet::accepted_job job(const std::string& id)
{
    fleet::accepted_job made;
    made.id = job_id(id);
    made.queue = queue_name("work");
    made.request.steps = {tasks(1)};
    return made;
}

struct fixture
{
    standin::manual_clock clock;
    standin::memory_store store{clock};
    standin::memory_store::client link{store};
    no_metrics metrics;
    std::shared_ptr<fleet::job_intake> intake =
        fleet::job_intake::create({}, link, clock, metrics);
    std::map<std::string, intake_outcome> outcomes;

    void submit(
        const std::string& id,
        milliseconds deadline,
        bool may_be_stored = false,
        milliseconds patience = {})
    {
        intake->submit(
            job(id),
            {clock.now() + deadline, may_be_stored, patience},
            [this, id](intake_outcome outcome, const std::string&)
            {
                REQUIRE(outcomes.count(id) == 0);
                outcomes[id] = outcome;
            });
    }
};

} // namespace

TEST_CASE(
    "a steady load of jobs is appended in groups while the store is slow",
    "[intake]")
{
    fixture at;
    at.store.latency = 600ms;
    constexpr int jobs = 200;
    for (int n = 0; n < jobs; ++n)
    {
        at.submit("j" + std::to_string(n), 3s);
        at.clock.advance(20ms);
    }
    at.clock.advance(3s);
    CHECK(at.outcomes.size() == jobs);
    for (const auto& [id, outcome] : at.outcomes)
    {
        CHECK(outcome == intake_outcome::stored);
    }
    CHECK(at.store.calls.appends < 20);
}

TEST_CASE("a job that the store refuses is refused at once", "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    at.submit("a", 3s);
    at.clock.advance(50ms);
    CHECK(at.outcomes.at("a") == intake_outcome::refused);
    CHECK(at.store.newest(fleet::topics::jobs, "a").empty());
}

TEST_CASE("a job whose append timed out is not reported as refused", "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::losing_answers;
    at.submit("a", 3s);
    at.clock.advance(1'300ms);
    at.store.mode = standin::store_mode::refusing;
    at.clock.advance(3s);
    CHECK(at.outcomes.at("a") == intake_outcome::unknown);
}

TEST_CASE(
    "a job that another VM may have stored is not reported as refused",
    "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    at.submit("a", 2s, true);
    at.clock.advance(3s);
    CHECK(at.outcomes.at("a") == intake_outcome::unknown);
}

TEST_CASE(
    "an append that timed out is retried until the job's deadline", "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::silent;
    at.submit("a", 3s);
    at.clock.advance(1'300ms);
    at.store.mode = standin::store_mode::healthy;
    at.clock.advance(1'500ms); // The second append times out too.
    CHECK(at.outcomes.at("a") == intake_outcome::stored);
}

TEST_CASE("a job with little time left is still stored", "[intake]")
{
    fixture at;
    at.submit("a", 100ms);
    at.clock.advance(100ms);
    CHECK(at.outcomes["a"] == intake_outcome::stored);
}

TEST_CASE(
    "a burst of large jobs on a slow store is spread over several topics",
    "[intake][load]")
{
    fixture at;
    at.store.latency = 240ms;
    constexpr int jobs = 600;
    for (int n = 0; n < jobs; ++n)
    {
        fleet::accepted_job large = job("j" + std::to_string(n));
        large.request.payload = std::string(2'400, 'x');
        at.intake->submit(
            large,
            {at.clock.now() + 3s},
            [&at, n](intake_outcome outcome, const std::string&)
            { at.outcomes["j" + std::to_string(n)] = outcome; });
        at.clock.advance(2ms);
    }
    at.clock.advance(1s);
    REQUIRE(at.outcomes.size() == jobs);
    std::map<std::string, int> stored;
    for (int n = 0; n < jobs; ++n)
    {
        for (const char* topic : fleet::topics::job_topics)
        {
            stored[topic] +=
                at.store.newest(topic, "j" + std::to_string(n)).empty() ? 0 : 1;
        }
    }
    for (const char* topic : fleet::topics::job_topics)
    {
        INFO(topic);
        CHECK(stored[topic] >= jobs / 10);
    }
}

// Load: a steady stream of jobs meets a store that refuses calls for a while.
TEST_CASE(
    "a store that is busy for less than callers can wait refuses none",
    "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    const std::uint64_t appends_before = at.store.calls.appends;
    for (int n = 0; n < 80; ++n)
    {
        at.submit("j" + std::to_string(n), 3s, false, 1s);
        at.clock.advance(10ms);
    }
    CHECK(at.outcomes.empty());
    // One append in each interval, however many jobs wait.
    CHECK(at.store.calls.appends - appends_before < 10);
    at.store.mode = standin::store_mode::healthy;
    at.clock.advance(200ms);
    REQUIRE(at.outcomes.size() == 80);
    for (const auto& [id, outcome] : at.outcomes)
    {
        CHECK(outcome == intake_outcome::stored);
    }
}

TEST_CASE(
    "a job waits for a refusing store for a third of its time at most",
    "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    at.submit("a", 3s, false, 1s);
    at.submit("short", 900ms, false, 1s);
    at.clock.advance(310ms);
    CHECK(at.outcomes.count("a") == 0);
    CHECK(at.outcomes.at("short") == intake_outcome::refused);
    at.clock.advance(700ms);
    CHECK(at.outcomes.at("a") == intake_outcome::refused);
    at.store.mode = standin::store_mode::healthy;
    at.clock.advance(5s);
    CHECK(at.store.newest(fleet::topics::jobs, "a").empty());
}

TEST_CASE(
    "a job that waits for a refusing store is refused only if no append "
    "of it may be carried out",
    "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    at.submit("a", 3s, false, 1s);
    at.clock.advance(200ms);
    at.store.mode = standin::store_mode::losing_answers;
    at.clock.advance(600ms);
    at.store.mode = standin::store_mode::refusing;
    at.clock.advance(4s);
    CHECK(at.outcomes.at("a") == intake_outcome::unknown);
}

// Guards against a VM that refuses all jobs because the store is away for the
// one topic that it uses first.
TEST_CASE("a store that refuses one topic alone refuses no job", "[intake]")
{
    fixture at;
    at.link.rejected_appends.insert(fleet::topics::job_topics[0]);
    for (int n = 0; n < 20; ++n)
    {
        at.submit("j" + std::to_string(n), 3s, false, 1s);
        at.clock.advance(50ms);
    }
    at.clock.advance(500ms);
    REQUIRE(at.outcomes.size() == 20);
    for (const auto& [id, outcome] : at.outcomes)
    {
        CHECK(outcome == intake_outcome::stored);
    }
}

// Guards against a job that nothing appends: it arrived while a store that had
// refused an earlier one was not asked, and no other job followed.
TEST_CASE(
    "a job that follows a refused one is stored without a third", "[intake]")
{
    fixture at;
    at.store.mode = standin::store_mode::refusing;
    at.submit("a", 3s);
    at.clock.advance(50ms);
    REQUIRE(at.outcomes.at("a") == intake_outcome::refused);
    at.store.mode = standin::store_mode::healthy;
    at.submit("b", 3s);
    at.clock.advance(300ms);
    REQUIRE(at.outcomes.count("b") == 1);
    CHECK(at.outcomes.at("b") == intake_outcome::stored);
}
