#include "fleet/advice_dispatcher.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace std::chrono_literals;

namespace
{

permit_request
question(const std::string& job, std::uint32_t priority, milliseconds expected)
{
    return {{job_id(job), 0, 0}, {worker_id("w")}, priority, expected};
}

/// A dispatcher with a clock, and the questions that each VM received.
struct fixture
{
    advice_dispatcher dispatcher;
    instant now{10s};
    std::map<std::string, std::vector<std::string>> delivered;

    void request_question(const std::string& vm)
    {
        dispatcher.request_question(
            instance_id(vm),
            now,
            now + 1s,
            [this, vm](const std::optional<permit_request>& received) {
                delivered[vm].push_back(
                    received ? received->step.job.str() : "nothing");
            });
    }
};

} // namespace

TEST_CASE("urgent questions go first, one to each VM", "[advice]")
{
    fixture at;
    at.dispatcher.add(question("slow", 2, 100ms));
    at.dispatcher.add(question("urgent", 0, 10ms));
    at.request_question("a");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered["a"] == std::vector<std::string>{"urgent"});
    at.request_question("b");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered["b"] == std::vector<std::string>{"slow"});
}

TEST_CASE("long questions leave VMs free for short ones", "[advice]")
{
    fixture at;
    for (const char* vm : {"a", "b", "c", "d"})
    {
        at.request_question(vm);
    }
    for (const char* job : {"l1", "l2", "l3", "l4"})
    {
        at.dispatcher.add(question(job, 1, 900ms));
    }
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered.size() == 2);
    at.dispatcher.add(question("short", 0, 10ms));
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered.size() == 3);
}

TEST_CASE("the question of a restarted VM is delivered again", "[advice]")
{
    fixture at;
    at.dispatcher.add(question("one", 1, 10ms));
    at.dispatcher.add(question("two", 1, 10ms));
    at.request_question("a");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    at.request_question("a"); // It restarted and lost its question.
    CHECK(at.dispatcher.dispatch(at.now).empty());
    at.request_question("b");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    REQUIRE_FALSE(at.delivered["b"].empty());
    std::set<std::string> last_delivered;
    last_delivered.insert(at.delivered["a"].back());
    last_delivered.insert(at.delivered["b"].back());
    CHECK(last_delivered == std::set<std::string>{"one", "two"});
}

TEST_CASE("a question that is not answered in time is returned", "[advice]")
{
    fixture at;
    at.dispatcher.add(question("one", 1, 10ms));
    at.request_question("a");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    at.now += 5s;
    const auto overdue = at.dispatcher.dispatch(at.now);
    REQUIRE(overdue.size() == 1);
    CHECK(overdue.front().step.job.str() == "one");
    CHECK_FALSE(at.dispatcher.finish(instance_id("a"), overdue.front().step)
                    .has_value());
}

TEST_CASE(
    "the number of waiting short questions is limited by the number of VMs",
    "[advice]")
{
    fixture at;
    at.request_question("a");
    at.request_question("b");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.dispatcher.budget(at.now).short_requests == 2);
    at.dispatcher.add(question("one", 0, 10ms));
    at.dispatcher.add(question("two", 0, 10ms));
    at.dispatcher.add(question("three", 0, 10ms));
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.dispatcher.budget(at.now).short_requests == 1);
    at.dispatcher.add(question("long", 0, 900ms));
    CHECK(at.dispatcher.budget(at.now).short_requests == 1);
    CHECK(at.dispatcher.budget(at.now).long_requests == 1);
}
