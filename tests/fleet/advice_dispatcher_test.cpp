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

TEST_CASE("a backlog leaves a VM free for another account", "[advice]")
{
    fixture at;
    for (const char* vm : {"a", "b", "c"})
    {
        at.request_question(vm);
    }
    for (std::uint32_t turn = 0; turn < 4; ++turn)
    {
        permit_request next = question("hot" + std::to_string(turn), 1, 10ms);
        next.turn = turn + 1;
        at.dispatcher.add(std::move(next));
    }
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered.size() == 2);
    CHECK(at.dispatcher.budget(at.now).short_requests == 1);
    CHECK(at.dispatcher.budget(at.now).first_requests == 3);
    at.dispatcher.add(question("quiet", 1, 10ms));
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered["c"] == std::vector<std::string>{"quiet"});
    // A VM that has answered goes on with the backlog.
    CHECK(at.dispatcher.finish(instance_id("a"), {job_id("hot0"), 0, 0}, 0));
    at.request_question("a");
    CHECK(at.dispatcher.dispatch(at.now).empty());
    CHECK(at.delivered["a"] == std::vector<std::string>{"hot0", "hot2"});
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
    CHECK_FALSE(
        at.dispatcher
            .finish(
                instance_id("a"), overdue.front().step, overdue.front().number)
            .has_value());
}

TEST_CASE("an answer ends only the question that it was given for", "[advice]")
{
    const instant now{10s};
    advice_dispatcher dispatcher;
    const instance_id vm("a");
    std::vector<permit_request> delivered;
    // Delivers another question about the same step.
    const auto deliver = [&]
    {
        dispatcher.add(question("job", 1, 10ms));
        dispatcher.request_question(
            vm,
            now,
            now + 1s,
            [&](std::optional<permit_request> received)
            { delivered.push_back(received.value()); });
        CHECK(dispatcher.dispatch(now).empty());
    };
    deliver();
    const permit_request first = delivered.back();
    CHECK(dispatcher.finish(vm, first.step, first.number).has_value());
    deliver();
    const permit_request second = delivered.back();
    CHECK(second.step == first.step);
    CHECK_FALSE(dispatcher.finish(vm, first.step, first.number).has_value());
    CHECK(dispatcher.finish(vm, second.step, second.number).has_value());
    CHECK_FALSE(dispatcher.finish(vm, second.step, second.number).has_value());
}

TEST_CASE("an answer without a number is matched by its step", "[advice]")
{
    const instant now{10s};
    advice_dispatcher dispatcher;
    const instance_id vm("a");
    dispatcher.add(question("job", 1, 10ms));
    dispatcher.request_question(
        vm, now, now + 1s, [](const std::optional<permit_request>&) {});
    CHECK(dispatcher.dispatch(now).empty());
    CHECK_FALSE(dispatcher.finish(vm, {job_id("other"), 0, 0}, 0).has_value());
    CHECK(dispatcher.finish(vm, {job_id("job"), 0, 0}, 0).has_value());
}

TEST_CASE("questions of two owners have different numbers", "[advice]")
{
    const instant now{10s};
    std::set<std::uint64_t> numbers;
    for (const std::uint64_t token : {7U, 8U})
    {
        advice_dispatcher dispatcher({}, token);
        for (int n = 0; n < 3; ++n)
        {
            dispatcher.add(question("job", 1, 10ms));
            dispatcher.request_question(
                instance_id("a"),
                now,
                now + 1s,
                [&](std::optional<permit_request> received)
                { numbers.insert(received.value().number); });
            CHECK(dispatcher.dispatch(now).empty());
        }
    }
    CHECK(numbers.size() == 6);
    CHECK(numbers.count(0) == 0);
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
