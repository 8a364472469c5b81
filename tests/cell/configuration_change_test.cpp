#include "cell/cell_state.hpp"
#include "cell/configuration_change.hpp"
#include "support/cell_samples.hpp"

#include <catch2/catch.hpp>
#include <random>

using namespace acaciastile;
using namespace acaciastile::samples;

namespace
{

inventory drawn_workers(std::mt19937& random)
{
    std::vector<worker_entry> list;
    for (int at = 0; at < 12; ++at)
    {
        std::string port = std::to_string(9'000 + random() % 2);
        if (random() % 3 > 0)
        {
            list.push_back(
                worker("w" + std::to_string(at), "127.0.0.1:" + port));
        }
    }
    return workers(std::move(list));
}

} // namespace

TEST_CASE("a change holds only what differs", "[configuration]")
{
    auto before = workers({worker("w1"), worker("w2"), worker("w3")});
    auto moved = worker("w2", "127.0.0.1:9001");
    auto after = workers({worker("w1"), moved, worker("w4")});
    auto change = change_between(before, after);
    CHECK(change.set == std::vector{moved, worker("w4")});
    CHECK(change.removed == std::vector{worker_id("w3")});
    CHECK(apply_change(before, change).value() == after);
}

TEST_CASE(
    "applying the difference of two inventories is exact", "[configuration]")
{
    const auto seed = GENERATE(range(600U, 650U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto before = drawn_workers(random);
    auto after = drawn_workers(random);
    CHECK(apply_change(before, change_between(before, after)).value() == after);
}

TEST_CASE(
    "a publication on the revision in force holds the change",
    "[configuration]")
{
    cell_state state;
    auto first = workers({worker("w1"), worker("w2"), worker("w3")});
    auto start = make_publication(state, 0, first);
    CHECK(std::holds_alternative<inventory_published>(start));
    state.apply(5, {"a", start});
    auto second = workers({worker("w1"), worker("w2")});
    auto next = make_publication(state, 5, second);
    REQUIRE(std::holds_alternative<inventory_changed>(next));
    CHECK(std::holds_alternative<inventory_published>(
        make_publication(state, 4, second)));
    CHECK(state.apply(6, {"b", next}).in_force == 6);
    CHECK(state.inventory_in_force() == second);
    auto raced = state.apply(7, {"c", next});
    REQUIRE(raced.refusal.has_value());
    CHECK(raced.refusal->code == refusal_code::revision_conflict);
    CHECK(raced.in_force == 6);
}

TEST_CASE(
    "a change of rules keeps unchanged rules and is validated",
    "[configuration]")
{
    cell_state state;
    team_rule one{team_name("a"), 1, {1, 1, 1}};
    team_rule two{team_name("b"), 1, {2, 2, 2}};
    queue_rule queue;
    queue.name = queue_name("q");
    queue.teams = {team_name("a")};
    state.apply(
        1,
        {"r1", rules_published{0, rules::create({one, two}, {queue}).value()}});
    two.share = 7;
    auto next =
        make_publication(state, 1, rules::create({one, two}, {queue}).value());
    REQUIRE(std::holds_alternative<rules_changed>(next));
    CHECK(std::get<rules_changed>(next).set_teams.size() == 1);
    CHECK(state.apply(2, {"r2", next}).accepted());
    CHECK(state.rules_in_force().find(team_name("b"))->share == 7);
    CHECK(state.rules_in_force().queues().size() == 1);
    // A change that would leave a queue without its team is rejected as a
    // whole.
    auto broken =
        state.apply(3, {"r3", rules_changed{2, {}, {team_name("a")}, {}, {}}});
    REQUIRE(broken.refusal.has_value());
    CHECK(broken.refusal->code == refusal_code::unknown_team);
    CHECK(broken.in_force == 2);
    CHECK(state.rules_in_force().teams().size() == 2);
}

TEST_CASE(
    "a changed address ends the death mark of a worker", "[configuration]")
{
    cell_state state;
    state.apply(1, {"a", inventory_published{0, workers({worker("w1")})}});
    state.apply(2, {"b", workers_declared_dead{{worker_id("w1")}}});
    auto moved = worker("w1", "127.0.0.1:9001");
    state.apply(3, {"c", inventory_changed{1, {moved}, {}}});
    CHECK(state.declared_dead_at(worker_id("w1")) == 0);
}
