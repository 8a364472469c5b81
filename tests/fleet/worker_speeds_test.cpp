#include "fleet/planner.hpp"
#include "support/fleet_world.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <sstream>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace acaciastile::test;
using namespace std::chrono_literals;

namespace
{

const queue_name work("work");

/// Run times with a spread of one half and a tail: 3 in 100 runs take seven
/// times as long.
class uneven_runs
{
public:
    explicit uneven_runs(std::uint64_t seed) : random_(seed) {}

    milliseconds take(milliseconds median, double speed)
    {
        std::lognormal_distribution<double> spread(0.0, 0.5);
        const double tail = chance_(random_) < 0.03 ? 7.0 : 1.0;
        return milliseconds(static_cast<milliseconds::rep>(
            static_cast<double>(median.count()) * spread(random_) * tail /
            speed));
    }
    /// A job of which no other run has been noted.
    job_id job() { return job_id(std::to_string(++jobs_)); }
    worker_handle any(std::size_t workers)
    {
        return static_cast<worker_handle>(random_() % workers);
    }

private:
    std::mt19937_64 random_;
    int jobs_ = 0;
    std::uniform_real_distribution<double> chance_{0.0, 1.0};
};

constexpr std::size_t worker_count = 90;

/// Speeds in thirds: slow, usual, fast.
double true_speed(worker_handle worker)
{
    constexpr double speeds[] = {0.6, 1.0, 1.6};
    return speeds[worker % 3];
}

/// Speeds in hundredths by worker, from the owner's state dump.
std::map<std::string, int> speeds_told_by(const fleet_owner& owner)
{
    std::map<std::string, int> told;
    std::istringstream rows(owner.describe_speeds());
    for (std::string row; std::getline(rows, row, ',');)
    {
        const std::size_t colon = row.find(':');
        REQUIRE(colon != std::string::npos);
        told[row.substr(0, colon)] = std::stoi(row.substr(colon + 1));
    }
    return told;
}

void learn(
    worker_speeds& speeds,
    uneven_runs& runs,
    std::size_t count,
    double (*speed)(worker_handle))
{
    for (std::size_t n = 0; n < count; ++n)
    {
        const worker_handle worker = runs.any(worker_count);
        speeds.note(work, runs.job(), worker, runs.take(500ms, speed(worker)));
    }
}

} // namespace

TEST_CASE("a few runs a worker tell slow workers from fast ones")
{
    const auto seed = GENERATE(range(1, 9));
    uneven_runs runs(static_cast<std::uint64_t>(seed));
    worker_speeds speeds;
    learn(speeds, runs, 10 * worker_count, true_speed);
    REQUIRE(speeds.is_uneven());
    std::size_t confused = 0;
    for (worker_handle slow = 0; slow < worker_count; slow += 3)
    {
        confused += speeds.speed_of(slow) > speeds.speed_of(slow + 2) ? 1 : 0;
        CHECK(speeds.speed_of(slow) < 1.15);
        CHECK(speeds.speed_of(slow + 2) > 0.9);
    }
    CHECK(confused <= 1);
}

TEST_CASE("chance makes no worker fast or slow")
{
    const auto seed = GENERATE(range(1, 9));
    uneven_runs runs(static_cast<std::uint64_t>(seed));
    worker_speeds speeds;
    learn(speeds, runs, 30 * worker_count, [](worker_handle) { return 1.0; });
    CHECK_FALSE(speeds.is_uneven());
    CHECK(speeds.speed_of(7) == 1.0);
}

TEST_CASE("tasks of one job that are alike make no worker fast or slow")
{
    uneven_runs runs(3);
    worker_speeds speeds;
    for (int n = 0; n < 300; ++n)
    {
        const job_id job = runs.job();
        const milliseconds took = runs.take(500ms, 1.0);
        const worker_handle worker = runs.any(worker_count);
        for (int task = 0; task < 8; ++task)
        {
            speeds.note(work, job, worker, took);
        }
    }
    CHECK_FALSE(speeds.is_uneven());
}

TEST_CASE("a worker that turns slow is found after a few runs, and found well "
          "again")
{
    uneven_runs runs(5);
    worker_speeds speeds;
    learn(speeds, runs, 30 * worker_count, true_speed);
    const worker_handle fast = 2;
    REQUIRE(speeds.speed_of(fast) > 1.2);
    for (int n = 0; n < 6; ++n)
    {
        speeds.note(work, runs.job(), fast, runs.take(500ms, 1.6 / 5));
    }
    CHECK(speeds.speed_of(fast) < 0.6);
    for (int n = 0; n < 12; ++n)
    {
        speeds.note(work, runs.job(), fast, runs.take(500ms, 1.6));
    }
    CHECK(speeds.speed_of(fast) > 1.0);
}

TEST_CASE("one tail run says little of its worker")
{
    uneven_runs runs(6);
    worker_speeds speeds;
    learn(speeds, runs, 20 * worker_count, true_speed);
    const double before = speeds.speed_of(2);
    speeds.note(work, runs.job(), 2, 500ms * 7);
    speeds.update();
    CHECK(speeds.speed_of(2) > before * 0.9);
}

TEST_CASE("the distribution of run times tells who ends too late")
{
    uneven_runs runs(7);
    worker_speeds speeds;
    learn(speeds, runs, 20 * worker_count, true_speed);
    // One in five runs of the spread takes longer than 1.5 times the median.
    const double usual = speeds.chance_longer(work, 1.0, 760ms, 1s);
    CHECK(usual > 0.12);
    CHECK(usual < 0.35);
    CHECK(speeds.chance_longer(work, 1.6, 760ms, 1s) < usual / 2);
    CHECK(speeds.chance_longer(work, 0.6, 760ms, 1s) > 0.4);
    CHECK(speeds.chance_longer(work, 1.0, 0ms, 1s) == 1.0);
    const queue_name unknown("unknown");
    CHECK(speeds.chance_longer(unknown, 1.0, 1s, 1s) == Approx(0.5));
    CHECK(speeds.chance_longer(unknown, 1.6, 1s, 1s) < 0.2);
}

TEST_CASE("learnt speeds survive their record, malformed records do no harm")
{
    worker_speeds::evidence known;
    known.sum = 2.4;
    known.runs = 8;
    const auto read = decode_learnt_speeds(encode({{worker_id("w1"), known}}));
    REQUIRE(read);
    REQUIRE(read->size() == 1);
    CHECK(read->front().first == worker_id("w1"));
    CHECK(read->front().second.runs == 8);
    CHECK(std::abs(read->front().second.sum - 2.4) < 0.05);
    CHECK_FALSE(decode_learnt_speeds("no record"));
}

// Load: urgent jobs of three tasks beside wide batches, on workers of which a
// third is slow and a third is fast, with long tails.
TEST_CASE("urgent work on unequal workers goes where it ends in time")
{
    fleet_world world(1, 0);
    for (std::size_t n = 0; n < 24; ++n)
    {
        world.add_worker("w" + std::to_string(n));
    }
    queue_settings urgent;
    urgent.name = queue_name("work");
    urgent.service = service_name("svc");
    urgent.attempts = 2;
    urgent.stretch = 1.5;
    urgent.latency_objective = 250ms;
    account_settings account;
    account.name = account_name("acct");
    account.weight = 1'000;
    world.config = configuration(1, {urgent}, {account}, {});
    uneven_runs runs(11);
    std::map<worker_id, double> speed;
    for (std::size_t n = 0; n < 24; ++n)
    {
        speed[worker_id("w" + std::to_string(n))] =
            true_speed(static_cast<worker_handle>(n));
    }
    world.workers.behaviour = [&](const task_ref&) {
        return standin::task_behaviour{runs.take(500ms, 1.0), false};
    };
    world.workers.speed = [&](const worker_id& worker)
    { return speed.at(worker); };
    world.run(500ms);
    const auto slow_share = [&](int first, int last)
    {
        for (int n = first; n < last; ++n)
        {
            step_spec step = tasks(3, 5);
            step.estimate = 500ms;
            world.submit("j" + std::to_string(n), {step});
            world.run(150ms);
        }
        world.run(8s);
        std::size_t slow = 0;
        std::size_t all = 0;
        for (int n = first; n < last; ++n)
        {
            for (std::uint32_t index = 0; index < 3; ++index)
            {
                for (const auto& each :
                     world.starts_of("j" + std::to_string(n), index))
                {
                    ++all;
                    slow += speed.at(each.worker) < 1.0 ? 1 : 0;
                }
            }
        }
        return static_cast<double>(slow) / static_cast<double>(all);
    };
    static_cast<void>(slow_share(0, 150));
    // One in three by chance, and one in two or more by the tightest fit.
    CHECK(slow_share(150, 300) < 0.1);

    // Its successor has what it has learnt before any run of its own, and uses
    // it once it knows the queue's run times.
    const std::map<std::string, int> learnt = speeds_told_by(*world.owner());
    REQUIRE_FALSE(learnt.empty());
    world.owner_vm()->kill();
    world.vms[0]->start();
    world.run(6s);
    const std::map<std::string, int> restored = speeds_told_by(*world.owner());
    for (const auto& [worker, percent] : learnt)
    {
        CAPTURE(worker);
        REQUIRE(restored.count(worker) == 1);
        CHECK(std::abs(restored.at(worker) - percent) <= percent / 4);
    }
    static_cast<void>(slow_share(300, 360));
    CHECK(slow_share(360, 420) < 0.1);
}
