#include "golden/session_check.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::golden;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_CASE("golden: a VM leaves while a gang assembles", "[golden]")
{
    story cell("vm_leaves_gang");
    start_some(cell);
    ask filler{"filler", "plans", job_kind::batch, 16};
    filler.each = {2'000, 1'024, 0};
    filler.runs = seconds{10};
    cell.submit("a", "planning", filler);
    cell.run(seconds{2});
    ask gang{"gang-1", "fittings", job_kind::gang, 3};
    gang.each = {8'000, 1'024, 0};
    gang.runs = seconds{5};
    cell.submit("b", "planning", gang);
    cell.run(seconds{3});
    cell.leave("w1-1-1");
    cell.run(minutes{1});
    cell.status("c", "planning", "gang-1");
    cell.run(seconds{1});
    const transcript played = cell.finish();
    check("vm_leaves_gang", played);
    CHECK(ends_of(played, "gang-1", run_event::succeeded) == 3);
    CHECK(ends_of(played, "filler", run_event::succeeded) == 16);
}

TEST_CASE("golden: a data centre is lost and comes back", "[golden]")
{
    story_size size;
    size.data_centres = 3;
    story cell("data_centre_lost", size);
    start_some(cell, 6, 3);
    for (int job = 1; job <= 6; ++job)
    {
        ask plan{"plan-" + std::to_string(job), "plans", job_kind::batch, 2};
        plan.runs = seconds{40};
        cell.submit("a", "planning", plan);
    }
    cell.run(seconds{5});
    cell.cut_off(3, true);
    cell.run(minutes{5});
    cell.submit("a", "planning", {"plan-7", "plans"});
    cell.run(seconds{20});
    cell.cut_off(3, false);
    cell.run(minutes{2});
    for (int job = 1; job <= 7; ++job)
    {
        cell.status("b", "planning", "plan-" + std::to_string(job));
    }
    cell.run(seconds{3});
    const transcript played = cell.finish();
    check("data_centre_lost", played);
    for (int job = 1; job <= 6; ++job)
    {
        const std::string id = "plan-" + std::to_string(job);
        CHECK(ends_of(played, id, run_event::succeeded) == 2);
        CHECK(has_line(played, "ok, " + id + " succeeded=2"));
    }
}

TEST_CASE("golden: one request through two entry VMs at once", "[golden]")
{
    story cell("two_entries");
    start_some(cell);
    const std::string owner = cell.owner_of_worker("w1-1-1");
    const std::string first = cell.other_than(owner);
    std::string second = "c";
    for (const char* name : {"a", "b", "c"})
    {
        second = name != owner && name != first ? name : second;
    }
    ask order{"order-1", "orders"};
    order.repeatable = false;
    order.runs = seconds{2};
    cell.network().slow(second, seconds{1});
    cell.request(first, "orders", order);
    cell.request(second, "orders", order);
    cell.run(seconds{1});
    cell.peers().lose_answers(owner, 1);
    cell.run(seconds{20});
    cell.network().slow(second, milliseconds{0});
    ask other = order;
    other.runs = seconds{3};
    cell.request(first, "orders", other);
    cell.run(seconds{5});
    const transcript played = cell.finish();
    check("two_entries", played);
    CHECK(starts_of(played, "order-1") == 1);
    CHECK(answers_to(played, "order-1") == words{"ok", "ok", "conflicting_id"});
}

TEST_CASE("golden: all nine instances are replaced in turn", "[golden]")
{
    story_size size;
    size.data_centres = 2;
    story cell("rolling_replacement", size);
    start_some(cell, 9, 2);
    int job = 0;
    for (char name = 'a'; name <= 'i'; ++name)
    {
        const std::string old(1, name);
        ++job;
        ask order{"order-" + std::to_string(job), "orders"};
        order.repeatable = false;
        order.runs = seconds{2};
        cell.request(old, "orders", order);
        ask check{"check-" + std::to_string(job), "checks"};
        cell.request(old, "", check);
        ask plan{"plan-" + std::to_string(job), "plans", job_kind::batch, 2};
        plan.runs = seconds{15};
        cell.submit(old, "planning", plan);
        cell.run(milliseconds{500});
        cell.shutdown(old);
        cell.run(seconds{6});
        cell.start(
            std::string(1, static_cast<char>(name + 'j' - 'a')),
            static_cast<std::size_t>((name - 'a') % 2 + 1));
        cell.run(seconds{6});
    }
    cell.run(seconds{40});
    const transcript played = cell.finish();
    check("rolling_replacement", played);
    for (int at = 1; at <= job; ++at)
    {
        const std::string number = std::to_string(at);
        CHECK(answers_to(played, "order-" + number) == words{"ok"});
        CHECK(answers_to(played, "check-" + number) == words{"ok"});
        CHECK(ends_of(played, "plan-" + number, run_event::succeeded) == 2);
    }
}

TEST_CASE("golden: a worker lapses while its owner is paused", "[golden]")
{
    story cell("worker_lapses_owner_paused");
    start_some(cell);
    const std::string owner = cell.owner_of_worker("w1-1-1");
    const std::string entry = cell.other_than(owner);
    ask plan{"plan-1", "plans", job_kind::batch, 1};
    plan.runs = minutes{2};
    cell.submit(entry, "planning", plan);
    ask order{"order-1", "orders"};
    order.repeatable = false;
    order.runs = minutes{2};
    order.deadline = minutes{4};
    cell.request(entry, "orders", order);
    cell.run(seconds{3});
    const std::string worker = cell.worker_of("plan-1");
    cell.tell(worker + " is cut off from all");
    for (const char* name : {"a", "b", "c"})
    {
        cell.network().cut(name, worker, cut_manner::silent);
    }
    cell.pause(owner);
    cell.run(minutes{1});
    cell.resume(owner);
    cell.tell(worker + " is back");
    cell.network().heal_all();
    cell.run(minutes{4});
    cell.status(entry, "planning", "plan-1");
    cell.run(seconds{2});
    const transcript played = cell.finish();
    check("worker_lapses_owner_paused", played);
    CHECK(ends_of(played, "plan-1", run_event::lapsed) == 1);
    CHECK(ends_of(played, "plan-1", run_event::succeeded) == 1);
    CHECK(starts_of(played, "order-1") == 1);
    CHECK(answers_to(played, "order-1") == words{"outcome_unknown"});
}

TEST_CASE("golden: a wave of cancellations during a take-over", "[golden]")
{
    story cell("cancel_wave_take_over");
    start_some(cell);
    constexpr int jobs = 60;
    for (int job = 1; job <= jobs; ++job)
    {
        ask plan{"plan-" + std::to_string(job), "plans"};
        plan.each = {2'000, 1'024, 0};
        plan.runs = minutes{1};
        cell.submit("a", "planning", plan);
    }
    cell.run(seconds{5});
    const std::string owner = cell.owner_of_worker("w1-1-1");
    const std::string entry = cell.other_than(owner);
    cell.kill(owner);
    cell.run(seconds{1});
    for (int job = 1; job <= jobs; ++job)
    {
        cell.cancel(entry, "planning", "plan-" + std::to_string(job));
    }
    cell.run(seconds{20});
    for (int job = 1; job <= jobs; ++job)
    {
        cell.cancel(entry, "planning", "plan-" + std::to_string(job));
    }
    cell.run(seconds{20});
    const transcript played = cell.finish();
    check("cancel_wave_take_over", played);
    std::size_t running = 0;
    for (const run_entry& run : played.runs)
    {
        running += run.what == run_event::started ? 1 : -1;
    }
    CHECK(running == 0);
}
