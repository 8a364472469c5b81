#include "fleet/unsettled_orders.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace std::chrono_literals;
using fleet::unsettled_order_table;

namespace
{

fleet::run_ref run_of(const std::string& job, fleet::run_number run = 1)
{
    return {{{job_id(job), 0, 0}, 0}, run};
}

} // namespace

TEST_CASE("an order is unsettled until it is answered", "[fleet]")
{
    unsettled_order_table orders;
    const worker_id worker("w0");
    const instant start{1s};
    orders.add(worker, run_of("a"), start);
    orders.add(worker, run_of("a"), start + 600ms); // Its repetition.
    orders.add(worker, run_of("b"), start);
    orders.settle(worker, run_of("b"), start);
    orders.settle(worker, run_of("a"), start + 600ms);
    CHECK(orders.of(worker, start + 1s) == std::vector{run_of("a")});
    CHECK(orders.contains(worker, run_of("a"), start + 1s));
    CHECK_FALSE(orders.contains(worker, run_of("b"), start + 1s));
    CHECK_FALSE(orders.contains(worker, run_of("a", 2), start + 1s));
    CHECK(orders.of(worker_id("w1"), start + 1s).empty());
}

// Guards against memory that grows with every order without an answer.
TEST_CASE("orders that can no longer be carried out are dropped", "[fleet]")
{
    unsettled_order_table orders;
    const worker_id worker("w0");
    instant now{1s};
    for (int n = 0; n < 1'000; ++n)
    {
        orders.add(
            worker_id("w" + std::to_string(n)),
            run_of("j" + std::to_string(n)),
            now);
        now += 1s;
    }
    CHECK(orders.size() <= 16);
    orders.add(worker, run_of("a"), now);
    const instant last = now + unsettled_order_table::longest_delay;
    CHECK(orders.contains(worker, run_of("a"), last));
    CHECK_FALSE(orders.contains(worker, run_of("a"), last + 1ms));
    CHECK(orders.of(worker, last + 1ms).empty());
}

// Guards against a task that runs twice: an order was taken as harmless on an
// incarnation that has not rejected its run.
TEST_CASE("an order binds its task until every copy is rejected", "[fleet]")
{
    unsettled_order_table orders;
    const worker_id worker("w0");
    const fleet::run_ref run = run_of("a");
    const instant start{1s};
    const auto reach = fleet::order_reach::any_incarnation;
    orders.add(worker, run, start, 1, reach);
    orders.add(worker, run, start + 400ms, 1, reach);
    orders.settle(worker, run, start + 400ms);
    const instant now = start + 1s;
    CHECK(orders.bound_worker(run.task, now) == worker);
    CHECK_FALSE(orders.is_barred(run.task, worker, 1, now));
    orders.note_barred(worker, run_of("a", 2), 1); // A later run was stopped.
    CHECK(orders.is_barred(run.task, worker, 1, now));
    CHECK_FALSE(orders.is_barred(run.task, worker, 2, now));
    orders.note_barred(worker, run, 2);
    CHECK(orders.is_barred(run.task, worker, 2, now));
    orders.add(worker, run_of("a", 2), now, 2, reach);
    CHECK_FALSE(orders.is_barred(run.task, worker, 2, now));
    const instant expired = now + unsettled_order_table::longest_delay + 1ms;
    CHECK_FALSE(orders.bound_worker(run.task, expired));
    orders.drop_expired(expired);
    CHECK(orders.bound_tasks() == 0);
}

TEST_CASE("an order with a permit binds no task", "[fleet]")
{
    unsettled_order_table orders;
    const worker_id worker("w0");
    const instant start{1s};
    orders.add(worker, run_of("a"), start, 1);
    orders.note_unanswered(worker, run_of("a"), start);
    CHECK_FALSE(orders.bound_worker(run_of("a").task, start));
    CHECK_FALSE(orders.binds_to(worker));
    CHECK(orders.unanswered() == 0);
}

// An expired lease in an order holds for the clock of one incarnation.
TEST_CASE("an expired lease bars an order on its incarnation only", "[fleet]")
{
    unsettled_order_table orders;
    const worker_id worker("w0");
    const fleet::run_ref run = run_of("a");
    const instant start{1s};
    orders.add(worker, run, start, 1, fleet::order_reach::any_incarnation);
    orders.note_unanswered(worker, run, start);
    CHECK(orders.binds_to(worker));
    CHECK(orders.unanswered() == 1);
    orders.note_lease_expired(worker, run, 2);
    CHECK_FALSE(orders.is_barred(run.task, worker, 2, start));
    orders.note_lease_expired(worker, run, 1);
    CHECK(orders.is_barred(run.task, worker, 1, start));
    CHECK(orders.late_for(worker, run, 2)->incarnation == 1);
    CHECK_FALSE(orders.late_for(worker, run, 1));
    orders.settle(worker, run, start);
    CHECK_FALSE(orders.binds_to(worker));
    CHECK(orders.unanswered() == 0);
}
