#include "golden/session_check.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::golden;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const resources plenty{1'000'000, 1'000'000, 100};

} // namespace

TEST_CASE("golden: a limit is lowered under what runs", "[golden]")
{
    story cell("limit_lowered");
    start_some(cell);
    ask batch{"batch-1", "plans", job_kind::batch, 12};
    batch.runs = minutes{2};
    cell.submit("a", "planning", batch);
    cell.run(seconds{5});
    cell.publish_rules(
        "b",
        {{"planning", {4'000, 8'192, 0}},
         {"orders", plenty},
         {"unlocks", plenty}});
    cell.run(minutes{8});
    cell.status("c", "planning", "batch-1");
    cell.run(seconds{2});
    const transcript played = cell.finish();
    check("limit_lowered", played);
    CHECK(ends_of(played, "batch-1", run_event::checkpointed) == 8);
    CHECK(ends_of(played, "batch-1", run_event::succeeded) == 12);
}

TEST_CASE("golden: a limit over three shards", "[golden]")
{
    story_size size;
    size.data_centres = 3;
    story cell("limit_over_shards", size);
    start_some(cell, 3, 3);
    cell.publish_rules(
        "a",
        {{"planning", {6'000, 8'192, 0}},
         {"orders", plenty},
         {"unlocks", plenty}});
    cell.run(seconds{2});
    for (int job = 1; job <= 9; ++job)
    {
        ask plan{"plan-" + std::to_string(job), "plans", job_kind::batch, 3};
        plan.runs = seconds{4};
        cell.submit("a", "planning", plan);
    }
    cell.run(seconds{10});
    const std::string owner = cell.busiest();
    cell.kill(owner);
    cell.run(minutes{3});
    const transcript played = cell.finish();
    check("limit_over_shards", played);
    std::size_t ended = 0;
    for (int job = 1; job <= 9; ++job)
    {
        ended += ends_of(
            played, "plan-" + std::to_string(job), run_event::succeeded);
    }
    CHECK(ended == 27);
}

TEST_CASE("golden: a key is withdrawn during a partition", "[golden]")
{
    story_size size;
    size.data_centres = 2;
    story cell("key_withdrawn_partition", size);
    start_some(cell, 4, 2);
    cell.submit("b", "planning", {"plan-1", "plans"});
    cell.run(seconds{3});
    cell.cut_off(2, true);
    cell.withdraw_key("a", "planning");
    cell.run(seconds{2});
    cell.submit("a", "planning", {"plan-2", "plans"});
    cell.submit("b", "planning", {"plan-3", "plans"});
    cell.run(seconds{15});
    cell.submit("b", "planning", {"plan-4", "plans"});
    cell.submit("d", "planning", {"plan-5", "plans"});
    cell.run(seconds{15});
    cell.cut_off(2, false);
    cell.run(seconds{20});
    cell.submit("d", "planning", {"plan-6", "plans"});
    cell.run(seconds{5});
    const transcript played = cell.finish();
    check("key_withdrawn_partition", played);
    CHECK(answers_to(played, "plan-1") == words{"ok"});
    CHECK(answers_to(played, "plan-2") == words{"unauthenticated"});
    CHECK(answers_to(played, "plan-4") == words{"stale_configuration"});
    CHECK(answers_to(played, "plan-5") == words{"stale_configuration"});
    CHECK(answers_to(played, "plan-6") == words{"unauthenticated"});
}

TEST_CASE("golden: a wrong key and another team's key", "[golden]")
{
    story cell("wrong_keys");
    start_some(cell);
    cell.submit("a", "nobody", {"plan-1", "plans"});
    cell.submit("b", "", {"plan-2", "plans"});
    cell.run(seconds{3});
    const transcript played = cell.finish();
    check("wrong_keys", played);
    CHECK(answers_to(played, "plan-1") == words{"unauthenticated"});
    CHECK(answers_to(played, "plan-2") == words{"unauthenticated"});
}

TEST_CASE("golden: what waits says why", "[golden]")
{
    story cell("waits_say_why");
    start_some(cell);
    ask portal{"portal-1", "portal", job_kind::service, 6};
    portal.each = {8'000, 1'024, 0};
    portal.runs = milliseconds{0};
    cell.submit("a", "planning", portal);
    cell.run(seconds{2});
    ask gang{"gang-1", "fittings", job_kind::gang, 2};
    gang.each = {8'000, 1'024, 0};
    cell.submit("b", "orders", gang);
    ask huge{"huge-1", "plans"};
    huge.each = {64'000, 1'024, 0};
    cell.submit("b", "planning", huge);
    cell.run(seconds{30});
    cell.status("c", "planning", "portal-1");
    cell.status("c", "orders", "gang-1");
    cell.run(seconds{2});
    const transcript played = cell.finish();
    check("waits_say_why", played);
    CHECK(starts_of(played, "portal-1") == 4);
    CHECK(answers_to(played, "huge-1") == words{"can_never_run"});
    CHECK(has_line(played, "portal-1 queued=2 running=4 why="));
    CHECK(has_line(played, "gang-1 queued=2 why="));
}
