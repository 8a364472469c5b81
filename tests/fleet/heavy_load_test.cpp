#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>
#include <functional>

using namespace acaciastile;
using namespace acaciastile::test;
using namespace std::chrono_literals;
using fleet::job_state;

namespace
{

/// Two accounts and a queue with a latency objective of 4.5 s for jobs of 1 s.
/// The rates are in jobs per second.
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

/// Counts submitted jobs and those that completed within their objective.
struct load_result
{
    std::size_t sent = 0;
    std::size_t in_time = 0;
};

struct sender
{
    std::string account;
    milliseconds interval{100};
    load_result result;
};

/// Submits jobs of one task with 4 cores for each sender for `duration`, and
/// counts those that complete in time. Calls `meanwhile` in each step of the
/// simulation.
void run_load(
    fleet_world& world,
    std::vector<sender>& senders,
    milliseconds duration,
    const std::function<void(milliseconds)>& meanwhile = [](milliseconds) {})
{
    constexpr milliseconds objective{4'500};
    constexpr milliseconds step{20};
    std::map<std::string, std::pair<sender*, milliseconds>> pending;
    for (milliseconds at{0}; at < duration + objective; at += step)
    {
        for (sender& each : senders)
        {
            if (at < duration && at.count() % each.interval.count() == 0)
            {
                const std::string id =
                    each.account + std::to_string(at.count());
                world.submit(id, {tasks(1, 4)}, each.account);
                ++each.result.sent;
                pending[id] = {&each, at};
            }
        }
        meanwhile(at);
        world.run(step);
        std::erase_if(
            pending,
            [&](const auto& job)
            {
                if (world.view(job.first).state != job_state::completed)
                {
                    return false;
                }
                job.second.first->result.in_time +=
                    at - job.second.second <= objective ? 1 : 0;
                return true;
            });
    }
}

} // namespace

TEST_CASE(
    "an account over its rate does not delay the jobs of another account",
    "[load]")
{
    fleet_world world(1, 2); // Resources for eight tasks: 8 jobs per second.
    world.config = two_accounts(4.0, 4.0);
    world.settings.jobs_read_interval = 20ms;
    world.run(500ms);
    std::vector<sender> senders{
        {"first", 40ms, {}},    // 25 jobs per second; its share is 4.
        {"second", 280ms, {}}}; // 3.6 jobs per second; within its share of 4.
    run_load(world, senders, 12s);
    INFO(senders[0].result.in_time << " of " << senders[0].result.sent);
    INFO(senders[1].result.in_time << " of " << senders[1].result.sent);
    CHECK(senders[1].result.in_time >= senders[1].result.sent * 95 / 100);
    CHECK(senders[0].result.in_time >= 4 * 11);
}

TEST_CASE(
    "a change of owner under load does not delay an account within its share",
    "[load]")
{
    fleet_world world(2, 2);
    world.peers_probe_owner = true;
    world.config = two_accounts(4.0, 4.0);
    world.settings.jobs_read_interval = 20ms;
    world.run(500ms);
    std::vector<sender> senders{
        {"first", 40ms, {}},    // 25 jobs per second; its share is 4.
        {"second", 280ms, {}}}; // 3.6 jobs per second; within its share of 4.
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
    INFO(senders[1].result.in_time << " of " << senders[1].result.sent);
    CHECK(senders[1].result.in_time >= senders[1].result.sent * 95 / 100);
}

// The load: an account with a backlog at its cap, and a take-over while one
// worker is out of reach of the new owner. All waiting tasks of the backlog
// counted as running unknown, so that new jobs of the account waited for the
// longest lease, though one worker cannot hold that many.
TEST_CASE(
    "a take-over with one worker out of reach leaves an account most of its "
    "cap",
    "[load]")
{
    fleet_world world(2, 4); // Resources for 64 tasks of one core.
    fleet::account_settings account;
    account.name = fleet::account_name("acct");
    account.cap = {40'000, 0, 0};
    world.config =
        fleet::configuration(2, world.config.queues(), {account}, {});
    world.workers.behaviour = [](const fleet::task_ref& task)
    {
        return standin::task_behaviour{
            task.step.job == job_id("backlog") ? 2s : 200ms, false};
    };
    world.submit("backlog", {tasks(100)});
    world.run(500ms);
    REQUIRE(world.workers.running() == 40);
    const bool registered = GENERATE(true, false);
    world.workers.faults_of(worker_id("w0")).silent = true;
    world.owner_vm()->kill();
    if (!registered)
    {
        // It lost the store as well, too late for the earlier owner to note.
        world.store.put("registry", "w0", "");
    }
    while (world.owner() == nullptr || !world.owner()->loaded())
    {
        world.run(10ms);
    }
    // A job counts as new only a second after the load.
    world.run(1'100ms);
    // A new job, passed on by the VM that has stored it.
    world.submit("new", {tasks(20)});
    world.owner()->accept(*fleet::decode_accepted_job(
        "new", world.store.newest(fleet::topics::jobs, "new")));
    std::size_t most = 0;
    for (int n = 0; n < 150; ++n)
    {
        world.run(20ms);
        most = std::max(most, world.workers.running());
    }
    // The backlog itself waits until nothing of it can run unknown.
    CHECK(world.starts_of("backlog", 99).empty());
    CHECK(world.view("new").state == job_state::completed);
    CHECK(most <= 40);
    for (int n = 0; n < 600; ++n)
    {
        world.run(20ms);
        most = std::max(most, world.workers.running());
    }
    CHECK(most <= 40);
    CHECK(world.view("backlog").state == job_state::completed);
    // Ends on the silent worker are never reported, so its tasks start again
    // once their leases have expired, also those that were done.
    for (const std::string& broken : world.broken_promises())
    {
        CHECK(broken.starts_with("started after it was done: backlog"));
    }
}

TEST_CASE(
    "under overload, late jobs do not delay jobs that can still be in time",
    "[load]")
{
    fleet_world world(1, 2);
    world.config = two_accounts(1'000.0, 1'000.0);
    world.settings.jobs_read_interval = 20ms;
    world.run(500ms);
    // About twice as many jobs as the workers can run.
    std::vector<sender> senders{{"first", 60ms, {}}};
    run_load(world, senders, 12s);
    INFO(senders[0].result.in_time << " of " << senders[0].result.sent);
    // With FIFO order, all jobs but those of the first seconds would be late.
    CHECK(senders[0].result.in_time >= 70);
    CHECK(world.broken_promises().empty());
}

// Load pattern: a burst of short jobs, every tenth of which crashes each worker
// that starts it, on a fleet whose workers are away for 3 s after a crash.
TEST_CASE(
    "a burst of jobs that crash their workers is given up, the others are done",
    "[fleet][load]")
{
    const bool change_ids = GENERATE(false, true);
    constexpr int jobs = 200;
    constexpr int one_deadly_in = 10;
    fleet_world world(2, 24);
    world.crashes_change_ids = change_ids;
    world.workers.behaviour = [](const fleet::task_ref&) {
        return standin::task_behaviour{800ms, false};
    };
    const auto is_deadly = [](int job) { return job % one_deadly_in == 0; };
    world.workers.crashes_after =
        [&is_deadly](const fleet::task_ref& task) -> std::optional<milliseconds>
    {
        const int job = std::stoi(task.step.job.str().substr(1));
        return is_deadly(job) ? std::optional<milliseconds>(10ms)
                              : std::nullopt;
    };
    for (int n = 0; n < jobs; ++n)
    {
        world.submit("j" + std::to_string(n), {tasks(2, 3)});
        world.run(50ms);
    }
    world.run(30s);
    std::size_t deadly = 0;
    for (int n = 0; n < jobs; ++n)
    {
        const std::string id = "j" + std::to_string(n);
        CAPTURE(change_ids, id);
        CHECK(
            world.view(id).state ==
            (is_deadly(n) ? job_state::failed : job_state::completed));
        for (std::uint32_t index = 0; index < 2; ++index)
        {
            CHECK((!is_deadly(n) || world.starts_of(id, index).size() <= 5));
        }
        deadly += is_deadly(n) ? 1 : 0;
    }
    // Both tasks of such a job may crash two workers before it is given up.
    CHECK(world.crashes() <= 4 * deadly);
}
