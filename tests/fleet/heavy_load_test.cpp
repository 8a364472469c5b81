#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>
#include <functional>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// A queue whose jobs of 1 s are wanted within 4.5 s, and two accounts.
fleet::configuration two_accounts(double first_rate, double second_rate)
{
    fleet::queue_settings queue;
    queue.name = queue_name("work");
    queue.service = fleet::service_name("svc");
    queue.attempts = 2;
    queue.stretch = 4.0;
    queue.latency_objective = 500ms;
    fleet::account_settings first;
    first.name = fleet::account_name("first");
    first.weight = first_rate;
    fleet::account_settings second;
    second.name = fleet::account_name("second");
    second.weight = second_rate;
    return fleet::configuration(1, {queue}, {first, second}, {});
}

/// Counts the ends of each job within a time of its submission.
struct load_result
{
    std::size_t sent = 0;
    std::size_t in_time = 0;
};

struct sender
{
    std::string account;
    milliseconds every{100};
    load_result seen;
};

/// Submits one-task jobs of 4 cores for each sender and follows them.
void run_load(
    fleet_world& world,
    std::vector<sender>& senders,
    milliseconds length,
    const std::function<void(milliseconds)>& meanwhile = [](milliseconds) {})
{
    constexpr milliseconds objective{4'500};
    constexpr milliseconds step{20};
    std::map<std::string, std::pair<sender*, milliseconds>> open;
    for (milliseconds at{0}; at < length + objective; at += step)
    {
        for (sender& each : senders)
        {
            if (at < length && at.count() % each.every.count() == 0)
            {
                const std::string id =
                    each.account + std::to_string(at.count());
                world.submit(id, {tasks(1, 4)}, each.account);
                ++each.seen.sent;
                open[id] = {&each, at};
            }
        }
        meanwhile(at);
        world.run(step);
        std::erase_if(
            open,
            [&](const auto& job)
            {
                if (world.view(job.first).state != job_state::completed)
                {
                    return false;
                }
                job.second.first->seen.in_time +=
                    at - job.second.second <= objective ? 1 : 0;
                return true;
            });
    }
}

} // namespace

TEST_CASE("pattern: one account sends many times its share", "[load]")
{
    fleet_world world(1, 2); // Room for eight tasks: eight jobs a second.
    world.config = two_accounts(4.0, 4.0);
    world.settings.jobs_pause = 20ms;
    world.run(500ms);
    std::vector<sender> senders{
        {"first", 40ms, {}},    // 25 a second against its 4.
        {"second", 280ms, {}}}; // 3.6 a second, within its 4.
    run_load(world, senders, 12s);
    INFO(senders[0].seen.in_time << " of " << senders[0].seen.sent);
    INFO(senders[1].seen.in_time << " of " << senders[1].seen.sent);
    CHECK(senders[1].seen.in_time >= senders[1].seen.sent * 95 / 100);
    CHECK(senders[0].seen.in_time >= 4 * 11);
}

TEST_CASE("pattern: the owner changes while one account floods", "[load]")
{
    fleet_world world(2, 2);
    world.peers_tell = true;
    world.config = two_accounts(4.0, 4.0);
    world.settings.jobs_pause = 20ms;
    world.run(500ms);
    std::vector<sender> senders{
        {"first", 40ms, {}},    // 25 a second against its 4.
        {"second", 280ms, {}}}; // 3.6 a second, within its 4.
    run_load(
        world,
        senders,
        12s,
        [&](milliseconds at)
        {
            if (at == 6s)
            {
                world.owner_vm()->kill();
            }
        });
    INFO(senders[1].seen.in_time << " of " << senders[1].seen.sent);
    CHECK(senders[1].seen.in_time >= senders[1].seen.sent * 95 / 100);
}

TEST_CASE("pattern: more work than room for a while", "[load]")
{
    fleet_world world(1, 2);
    world.config = two_accounts(1'000.0, 1'000.0);
    world.settings.jobs_pause = 20ms;
    world.run(500ms);
    std::vector<sender> senders{{"first", 60ms, {}}}; // Twice the room.
    run_load(world, senders, 12s);
    INFO(senders[0].seen.in_time << " of " << senders[0].seen.sent);
    // First come, first served would have all but the first seconds end late.
    CHECK(senders[0].seen.in_time >= 70);
    CHECK(world.broken_promises().empty());
}
