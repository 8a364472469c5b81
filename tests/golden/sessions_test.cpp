#include "golden/session_check.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::golden;
using std::chrono::seconds;

TEST_CASE("golden: an ordinary day", "[golden]")
{
    story cell("ordinary_day");
    start_some(cell);
    cell.submit("a", "planning", {"plan-1", "plans", job_kind::batch, 3});
    cell.request("b", "", {"check-1", "checks"});
    ask order{"order-1", "orders"};
    order.repeatable = false;
    cell.request("c", "orders", order);
    cell.run(seconds{5});
    cell.status("b", "planning", "plan-1");
    cell.run(seconds{1});
    const transcript played = cell.finish();
    check("ordinary_day", played);
    CHECK(answers_to(played, "check-1") == words{"ok"});
    CHECK(answers_to(played, "order-1") == words{"ok"});
    CHECK(starts_of(played, "plan-1") == 3);
    CHECK(starts_of(played, "order-1") == 1);
}

TEST_CASE("golden: an owner dies between start and answer", "[golden]")
{
    story cell("owner_dies_before_answer");
    start_some(cell);
    ask order{"order-1", "orders"};
    order.repeatable = false;
    order.runs = seconds{8};
    const std::string owner = cell.owner_of_worker("w1-1-1");
    const std::string entry = cell.other_than(owner);
    cell.request(entry, "orders", order);
    cell.submit(entry, "planning", {"plan-1", "plans", job_kind::batch, 4});
    cell.run(seconds{3});
    cell.kill(owner);
    cell.run(seconds{20});
    cell.status(entry, "planning", "plan-1");
    cell.run(seconds{1});
    const transcript played = cell.finish();
    check("owner_dies_before_answer", played);
    CHECK(answers_to(played, "order-1") == words{"ok"});
    CHECK(starts_of(played, "order-1") == 1);
}

TEST_CASE("golden: an owner pauses past its leases and wakes", "[golden]")
{
    story cell("owner_pauses_past_lease");
    start_some(cell);
    const std::string owner = cell.owner_of_worker("w1-1-1");
    const std::string entry = cell.other_than(owner);
    ask plan{"plan-1", "plans", job_kind::batch, 4};
    plan.runs = seconds{50};
    cell.submit(entry, "planning", plan);
    cell.run(seconds{3});
    cell.pause(owner);
    cell.run(seconds{40});
    ask order{"order-1", "orders"};
    order.repeatable = false;
    cell.request(entry, "orders", order);
    cell.run(seconds{2});
    cell.resume(owner);
    cell.run(seconds{60});
    cell.status(entry, "planning", "plan-1");
    cell.run(seconds{1});
    const transcript played = cell.finish();
    check("owner_pauses_past_lease", played);
    CHECK(answers_to(played, "order-1") == words{"ok"});
    CHECK(starts_of(played, "plan-1") == 4);
}
