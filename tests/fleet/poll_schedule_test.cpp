#include "fleet/poll_schedule.hpp"

#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace std::chrono_literals;

TEST_CASE("a poll schedule returns each worker once, at its earliest time")
{
    poll_schedule polls;
    polls.add(3, instant(50ms));
    polls.add(3, instant(20ms));
    polls.add(3, instant(80ms));
    polls.add(1, instant(30ms));
    CHECK(polls.take_due(instant(10ms)).empty());
    CHECK(polls.take_due(instant(30ms)) == std::vector<worker_handle>{3, 1});
    CHECK(polls.take_due(instant(100ms)).empty());
    polls.add(3, instant(120ms));
    CHECK(polls.take_due(instant(120ms)) == std::vector<worker_handle>{3});
}
