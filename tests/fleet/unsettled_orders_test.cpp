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
