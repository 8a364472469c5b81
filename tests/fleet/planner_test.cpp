#include "fleet/planner.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace std::chrono_literals;

namespace
{

/// Workers with 8 cores each, and a queue whose tasks need permits.
struct planner_fixture
{
    job_tracker jobs{1};
    worker_table workers;
    planner decider;
    configuration config;
    instant now{100s};
    permit_request_budget budget{100, 100, 150ms};

    explicit planner_fixture(std::size_t count)
    {
        queue_settings queue;
        queue.name = queue_name("work");
        queue.service = service_name("svc");
        queue.attempts = 2;
        queue.stretch = 4.0;
        queue.latency_objective = 1s;
        policy_timing advice;
        advice.base = std::chrono::duration<double, std::milli>(10.0);
        advice.per_worker = std::chrono::duration<double, std::milli>(0.1);
        advice.valid = 1'500ms;
        queue.advice = advice;
        account_settings account;
        account.name = account_name("acct");
        config = configuration(1, {queue}, {account}, {});
        for (std::size_t n = 0; n < count; ++n)
        {
            worker_registration registration;
            registration.id = worker_id("w" + std::to_string(n));
            registration.service = service_name("svc");
            registration.capacity = {8'000, 64'000, 0};
            workers.upsert(registration);
            workers.find(registration.id)->sealed = true;
        }
    }

    job_entry&
    submit(const std::string& id, std::uint32_t tasks, bool gang = false)
    {
        step_spec step;
        step.count = tasks;
        step.gang = gang;
        step.each = {4'000, 1'000, 0};
        step.estimate = 1s;
        accepted_job job;
        job.id = job_id(id);
        job.queue = queue_name("work");
        job.account = account_name("acct");
        job.request.steps = {step};
        return *jobs.add(std::move(job), false, now);
    }

    void fill(const std::string& worker)
    {
        run_entry run;
        run.task = {{job_id("other-" + worker), 0, 0}, 0};
        run.run = 1;
        run.needs = {8'000, 1'000, 0};
        workers.add_run(*workers.find(worker_id(worker)), run);
    }

    plan decide()
    {
        return decider.decide(jobs, workers, config, now, true, budget);
    }
};

} // namespace

TEST_CASE("a first permit request in a full fleet also names busy workers")
{
    planner_fixture fixture(20);
    for (std::size_t n = 1; n < 20; ++n)
    {
        fixture.fill("w" + std::to_string(n));
    }
    fixture.submit("a", 4);
    const plan first = fixture.decide();
    REQUIRE(first.permit_requests.size() == 1);
    // Only one worker has free resources. A request for this worker alone would
    // have to be repeated whenever another one becomes free.
    REQUIRE(first.permit_requests.front().workers.size() >= 10);
    permits answer;
    answer.valid = 1'500ms;
    for (std::size_t n = 0; n < first.permit_requests.front().workers.size();
         n += 2)
    {
        answer.allowed.push_back(
            {first.permit_requests.front().workers[n], "ticket"});
    }
    fixture.decider.permits().note_answer(
        fixture.jobs,
        fixture.workers,
        first.permit_requests.front().step,
        first.permit_requests.front().workers,
        answer,
        fixture.now + answer.valid);
    const worker_id freed = answer.allowed[2].worker;
    fixture.workers.remove_run(
        *fixture.workers.find(freed),
        {{job_id("other-" + freed.str()), 0, 0}, 0},
        1);
    const plan second = fixture.decide();
    CHECK(second.permit_requests.empty());
    CHECK_FALSE(second.starts.empty());
}

TEST_CASE(
    "permit requests beyond the budget wait; the most urgent are sent first")
{
    planner_fixture fixture(4);
    fixture.budget.short_requests = 2;
    for (int n = 0; n < 10; ++n)
    {
        fixture.submit("excess" + std::to_string(n), 1).excess = true;
    }
    fixture.now += 10ms;
    fixture.submit("within", 1);
    const plan decided = fixture.decide();
    REQUIRE(decided.permit_requests.size() == 2);
    CHECK(decided.permit_requests.front().step.job == job_id("within"));
    CHECK(
        decided.permit_requests.front().priority <
        decided.permit_requests.back().priority);
    // The remaining requests follow when the budget allows them.
    CHECK(fixture.decide().permit_requests.size() == 2);
}

TEST_CASE("a gang's permit request names only as many idle workers as it needs")
{
    planner_fixture fixture(150);
    for (std::size_t n = 0; n < 150; ++n)
    {
        if (n % 5 != 4)
        {
            fixture.fill("w" + std::to_string(n));
        }
    }
    fixture.submit("gang", 8, true);
    const plan decided = fixture.decide();
    REQUIRE(decided.permit_requests.size() == 1);
    const auto& named = decided.permit_requests.front().workers;
    // Two members fit on a free worker, and half of the workers are expected to
    // be allowed.
    CHECK(named.size() <= 20);
    for (const worker_id& id : named)
    {
        CHECK(fixture.workers.find(id)->runs.empty());
    }
}

// Guards against a step over its limit on one worker: only the current run of a
// task counted, although an earlier one of it was still live elsewhere.
TEST_CASE("a step's limit on a worker counts every live run of its tasks")
{
    const bool earlier_first = GENERATE(true, false);
    planner_fixture fixture(2);
    job_entry& job = fixture.submit("a", 2);
    job.job.request.steps.front().max_per_worker = 1;
    const step_id step{job_id("a"), 0, 0};
    const std::vector<worker_id> both{worker_id("w0"), worker_id("w1")};
    // One task with a run on each worker, as a new owner finds it.
    for (const int n : {0, 1})
    {
        const std::size_t at = (n == 0) == earlier_first ? 0 : 1;
        run_entry run;
        run.task = {step, 0};
        run.run = at + 1;
        run.needs = {4'000, 1'000, 0};
        fixture.workers.add_run(*fixture.workers.find(both[at]), run);
        static_cast<void>(
            fixture.jobs.adopt_run(run.task, run.run, both[at], {}));
    }
    permits answer;
    answer.valid = 1'500ms;
    answer.allowed = {{both[0], "ticket"}, {both[1], "ticket"}};
    fixture.decider.permits().note_answer(
        fixture.jobs,
        fixture.workers,
        step,
        both,
        answer,
        fixture.now + answer.valid);
    REQUIRE(job.occurrences[0][0].waiting == 1);
    CHECK(fixture.decide().starts.empty());
    // The limit allows the start once the earlier run has ended.
    fixture.workers.remove_run(*fixture.workers.find(both[0]), {step, 0}, 1);
    static_cast<void>(fixture.jobs.record_end(
        {step, 0}, 1, run_end::stopped, {}, 2, wall_time{}));
    const plan after = fixture.decide();
    REQUIRE(after.starts.size() == 1);
    CHECK(after.starts.front().worker == both[0]);
}

// Load: a data centre is taken back and its workers are cold.
TEST_CASE("cold workers take what fits on no warm one")
{
    planner_fixture fixture(4);
    queue_settings queue = *fixture.config.find(queue_name("work"));
    queue.advice.reset();
    account_settings account;
    account.name = account_name("acct");
    fixture.config = configuration(1, {queue}, {account}, {});
    for (const char* cold : {"w0", "w1"})
    {
        fixture.workers.find(worker_id(cold))->cold_until = fixture.now + 5s;
    }
    // Two tasks fit on each worker.
    fixture.submit("a", 4);
    for (const start_decision& each : fixture.decide().starts)
    {
        CHECK(
            (each.worker == worker_id("w2") || each.worker == worker_id("w3")));
    }
    fixture.submit("b", 2);
    const plan later = fixture.decide();
    CHECK(later.starts.size() == 2);
}

TEST_CASE("requests without an answer spread over the free workers")
{
    planner_fixture fixture(40);
    // Half of the workers are expected to be allowed, so each step names three.
    constexpr int steps = 50;
    for (int n = 0; n < steps; ++n)
    {
        fixture.submit("a" + std::to_string(n), 1);
    }
    std::map<worker_id, std::size_t> named;
    const auto count = [&](const plan& decided)
    {
        for (const permit_request& request : decided.permit_requests)
        {
            for (const worker_id& worker : request.workers)
            {
                ++named[worker];
            }
        }
    };
    fixture.budget.short_requests = steps / 2;
    count(fixture.decide());
    count(fixture.decide());
    // A worker has room for two of the tasks. It is named for a third of a task
    // by each request, so the fifth would be for more than its second task.
    for (const auto& [worker, times] : named)
    {
        CAPTURE(worker.str());
        CHECK(times <= 4);
    }
}

TEST_CASE("a step asks elsewhere than for a worker that was full")
{
    planner_fixture fixture(5);
    fixture.submit("a", 1);
    const plan first = fixture.decide();
    REQUIRE(first.permit_requests.size() == 1);
    const permit_request& asked = first.permit_requests.front();
    const worker_id allowed = asked.workers.front();
    fixture.fill(allowed.str());
    fixture.decider.permits().note_answer(
        fixture.jobs,
        fixture.workers,
        asked.step,
        asked.workers,
        {{{allowed, "ticket"}}, 1'500ms},
        fixture.now + 1'500ms);
    const plan second = fixture.decide();
    CHECK(second.starts.empty());
    REQUIRE(second.permit_requests.size() == 1);
    fixture.decider.permits().note_no_answer(
        fixture.jobs, asked.step, fixture.now);
    // The permit expires, and the worker has room again.
    fixture.now += 2s;
    fixture.workers.remove_run(
        *fixture.workers.find(allowed),
        {{job_id("other-" + allowed.str()), 0, 0}, 0},
        1);
    const plan third = fixture.decide();
    REQUIRE(third.permit_requests.size() == 1);
    CHECK(third.permit_requests.front().workers.front() != allowed);
}

// Guards against room that does not exist: another system has registered a
// worker that never answers, with the most that an entry may hold.
TEST_CASE("a worker that has never answered takes part in no decision")
{
    planner_fixture fixture(4);
    worker_registration ghost;
    ghost.id = worker_id("ghost");
    ghost.service = service_name("svc");
    ghost.capacity = {std::int64_t{1} << 30U, std::int64_t{1} << 30U, 0};
    fixture.workers.upsert(ghost);
    SECTION("no permit is asked for there")
    {
        fixture.submit("tasks", 20);
        fixture.submit("gang", 8, true);
        const plan decided = fixture.decide();
        REQUIRE_FALSE(decided.permit_requests.empty());
        for (const permit_request& request : decided.permit_requests)
        {
            const auto& named = request.workers;
            CHECK(
                std::find(named.begin(), named.end(), ghost.id) == named.end());
        }
    }
    queue_settings queue = fixture.config.queues().front();
    queue.advice.reset();
    fixture.config = configuration(1, {queue}, fixture.config.accounts(), {});
    SECTION("no task starts there, and none counts on it")
    {
        fixture.submit("tasks", 20);
        const plan decided = fixture.decide();
        CHECK(decided.starts.size() == 8); // All that the others hold.
        for (const start_decision& start : decided.starts)
        {
            CHECK(start.worker != ghost.id);
        }
    }
    SECTION("a gang that fits only there reserves nothing")
    {
        const step_id gang =
            fixture.submit("gang", 16, true).occurrences[0][0].id;
        fixture.now += 10ms;
        fixture.submit("tasks", 8);
        const plan decided = fixture.decide();
        CHECK_FALSE(fixture.decider.has_reservation(gang));
        CHECK(decided.starts.size() == 8);
    }
    SECTION("a gang that fits on the others starts there")
    {
        fixture.submit("gang", 8, true);
        const plan decided = fixture.decide();
        REQUIRE(decided.starts.size() == 8);
        for (const start_decision& start : decided.starts)
        {
            CHECK(start.worker != ghost.id);
        }
    }
}
