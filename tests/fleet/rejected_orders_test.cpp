#include "fleet/rejected_orders.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;

TEST_CASE("a step pauses once a second worker rejects its orders", "[fleet]")
{
    fleet::rejected_orders rejections;
    instant now{};
    CHECK_FALSE(rejections.note(0, 400ms, now));
    // Of an order that was sent beside the first.
    CHECK_FALSE(rejections.note(0, 400ms, now + 1ms));
    CHECK_FALSE(rejections.are_orders_wrong());
    CHECK_FALSE(rejections.is_paused(now + 1ms));
    CHECK(rejections.note(1, 400ms, now + 2ms));
    CHECK(rejections.are_orders_wrong());
    CHECK(rejections.is_paused(now + 501ms));
    CHECK_FALSE(rejections.is_paused(now + 502ms));
    CHECK_FALSE(rejections.note(2, 400ms, now + 3ms));
    milliseconds longest{0};
    for (int times = 0; times < 10; ++times)
    {
        now += 1min;
        CHECK(rejections.note(0, 400ms, now));
        CHECK(rejections.pause() >= longest);
        longest = rejections.pause();
    }
    CHECK(longest == 8s);
    rejections.clear();
    CHECK_FALSE(rejections.note(1, 400ms, now));
    // The same worker rejects an order again after its pause.
    CHECK(rejections.note(1, 400ms, now + 400ms));
}

// Guards against orders without end: each worker paused in turn after it had
// rejected the job's orders, and no line above level info told of it
// (review/1).
TEST_CASE(
    "a job whose orders no worker can read pauses and is reported", "[fleet]")
{
    fleet_world world(1, 8);
    std::size_t orders = 0;
    world.workers.rejects =
        [&](const worker_id&, const fleet::start_order& order)
    {
        const bool is_bad = order.task.step.job == job_id("bad");
        orders += is_bad ? 1 : 0;
        return is_bad;
    };
    world.run(500ms);
    world.submit("bad", {tasks(2)});
    world.run(2s);
    // An operator is told within seconds.
    CHECK(world.events.count(event_number::step_rejected) >= 1);
    orders = 0;
    for (int each = 0; each < 30; ++each)
    {
        const std::string id = "good-" + std::to_string(each);
        world.submit(id, {tasks(8, 16)}); // Takes all workers.
        CHECK(world.run_until(id, fleet::job_state::completed, 2s));
    }
    CHECK(orders <= 20);
    // Once the orders can be read, the job runs.
    world.workers.rejects = {};
    CHECK(world.run_until("bad", fleet::job_state::completed, 10s));
    CHECK(world.broken_promises().empty());
}

TEST_CASE("one worker that rejects all orders makes no step pause", "[fleet]")
{
    fleet_world world(1, 4);
    world.workers.rejects =
        [](const worker_id& worker, const fleet::start_order&)
    { return worker == worker_id("w0"); };
    world.run(500ms);
    for (int each = 0; each < 10; ++each)
    {
        const std::string id = std::to_string(each);
        world.submit(id, {tasks(6, 8)});
        CHECK(world.run_until(id, fleet::job_state::completed, 3s));
    }
    CHECK(world.events.count(event_number::step_rejected) == 0);
    CHECK(world.events.count(event_number::start_refused) > 0);
}
