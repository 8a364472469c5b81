#include "fleet/permit_demand.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <set>

using namespace acaciastile;
using namespace acaciastile::fleet;

namespace
{

/// Steps of one core a task, of accounts with a cap of ten cores of which some
/// are in use.
struct demand_fixture
{
    std::deque<job_entry> jobs;
    std::deque<step_entry> steps;
    std::deque<waiting_step> waiting;
    step_spec spec;
    step_spec gang_spec;
    queue_settings queue;
    permit_demand demand{3};
    std::int64_t used = 0;
    /// Of accounts that differ from `used`.
    std::map<std::uint32_t, std::int64_t> used_by;
    /// Steps for which there is no worker to ask.
    std::set<const waiting_step*> unplaceable;

    demand_fixture() { gang_spec.gang = true; }

    waiting_step& step_of(
        std::uint32_t account,
        urgency_class urgency = urgency_class::in_time,
        bool gang = false)
    {
        jobs.emplace_back().account_index = account;
        waiting_step& added = waiting.emplace_back();
        added.job = &jobs.back();
        added.step = &steps.emplace_back();
        added.spec = gang ? &gang_spec : &spec;
        added.queue = &queue;
        added.needs = {1'000, 0, 0};
        added.urgency = urgency;
        return added;
    }

    void
    add(waiting_step& step, std::uint32_t tasks, const resources& ending = {})
    {
        demand.add(step, tasks, ending);
    }

    /// Distributes `budget` requests and returns accounts and tasks, in order.
    std::vector<std::pair<std::uint32_t, std::uint32_t>>
    distribute(std::size_t budget)
    {
        std::vector<std::pair<std::uint32_t, std::uint32_t>> asked;
        demand.distribute(
            [&] { return asked.size() == budget; },
            [&](const waiting_step& step, const resources& added)
            {
                const auto own = used_by.find(step.job->account_index);
                return (own == used_by.end() ? used : own->second) +
                           added.milli_processors <=
                       10'000;
            },
            [&](waiting_step& step, std::uint32_t tasks)
            {
                if (unplaceable.contains(&step))
                {
                    return false;
                }
                asked.emplace_back(step.job->account_index, tasks);
                return true;
            });
        return asked;
    }
};

using asked_list = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

} // namespace

TEST_CASE("a step asks for what its account's cap admits", "[permits]")
{
    demand_fixture at;
    at.used = 4'000;
    at.add(at.step_of(0), 20);
    // All that is free is promised to the first step.
    at.add(at.step_of(0), 1);
    CHECK(at.distribute(9) == asked_list{{0, 6}});
}

// Guards against an account whose work is not asked about as an earlier step
// of it finds no worker.
TEST_CASE("a step without a worker holds up no other one", "[permits]")
{
    demand_fixture at;
    at.used = 4'000;
    waiting_step& first = at.step_of(0);
    at.unplaceable.insert(&first);
    at.add(first, 20);
    at.add(at.step_of(0), 4);
    at.add(at.step_of(0), 4);
    CHECK(at.distribute(9) == asked_list{{0, 4}, {0, 2}});
}

TEST_CASE("permits and requests of earlier steps count", "[permits]")
{
    demand_fixture at;
    at.used = 4'000;
    at.demand.promise(at.step_of(0), 5);
    at.add(at.step_of(0), 3);
    at.demand.promise(at.step_of(0), 5);
    CHECK(at.distribute(9) == asked_list{{0, 1}});
}

TEST_CASE("an account at its cap asks for what is about to end", "[permits]")
{
    demand_fixture at;
    at.used = 10'000;
    at.add(at.step_of(0), 5);
    at.add(at.step_of(1), 5, {2'500, 0, 0});
    // Over a cap that was lowered, what ends is not enough.
    at.used_by[2] = 13'000;
    at.add(at.step_of(2), 5, {2'500, 0, 0});
    CHECK(at.distribute(9) == asked_list{{1, 2}});
}

TEST_CASE("a gang asks for all its members or for none", "[permits]")
{
    demand_fixture at;
    at.used = 4'000;
    at.add(at.step_of(0, urgency_class::in_time, true), 7);
    at.add(at.step_of(1, urgency_class::in_time, true), 6);
    CHECK(at.distribute(9) == asked_list{{1, 6}});
}

TEST_CASE("accounts take turns within one rank", "[permits]")
{
    demand_fixture at;
    for (int n = 0; n < 5; ++n)
    {
        at.add(at.step_of(0), 1);
    }
    at.add(at.step_of(1), 1);
    at.add(at.step_of(1), 2);
    CHECK(
        at.distribute(5) == asked_list{{0, 1}, {1, 1}, {0, 1}, {1, 2}, {0, 1}});
}

TEST_CASE("unanswered requests count against an account's turn", "[permits]")
{
    demand_fixture at;
    at.demand.add_unanswered(at.step_of(0));
    at.demand.add_unanswered(at.step_of(0));
    at.add(at.step_of(0), 1);
    at.add(at.step_of(1), 1);
    at.add(at.step_of(1), 1);
    at.add(at.step_of(1), 1);
    CHECK(at.distribute(3) == asked_list{{1, 1}, {1, 1}, {0, 1}});
}

TEST_CASE("higher ranks come first, all that is out of time last", "[permits]")
{
    demand_fixture at;
    at.add(at.step_of(0, urgency_class::in_time), 1);
    at.add(at.step_of(0, urgency_class::in_time), 1);
    at.add(at.step_of(1, urgency_class::late), 2);
    at.add(at.step_of(0, urgency_class::excess), 1);
    at.add(at.step_of(0, urgency_class::excess), 1);
    at.add(at.step_of(2, urgency_class::hopeless), 3);
    CHECK(
        at.distribute(9) ==
        asked_list{{0, 1}, {0, 1}, {1, 2}, {2, 3}, {0, 1}, {0, 1}});
}
