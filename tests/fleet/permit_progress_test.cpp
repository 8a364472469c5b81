#include "fleet/advice_dispatcher.hpp"
#include "fleet/planner.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace acaciastile;
using namespace acaciastile::fleet;
using namespace std::chrono_literals;

namespace
{

constexpr milliseconds permit_validity{1'500};
constexpr milliseconds pass_interval{50};
constexpr int passes_in_20_s = 400;

/// A planner, workers of eight cores, and two accounts whose queue needs
/// permits.
struct permit_fixture
{
    explicit permit_fixture(std::size_t worker_count)
    {
        for (std::size_t n = 0; n < worker_count; ++n)
        {
            worker_registration registration;
            registration.id = worker_id("w" + std::to_string(n));
            registration.service = service_name("svc");
            registration.capacity = {8'000, 64'000, 0};
            workers.upsert(registration);
            workers.find(registration.id)->sealed = true;
        }
        set_cap(0);
    }

    /// Sets the cap of the account `capped`. Zero cores mean no cap.
    void set_cap(std::int64_t cores)
    {
        queue_settings queue;
        queue.name = queue_name("work");
        queue.service = service_name("svc");
        queue.attempts = 2;
        queue.stretch = 4.0;
        queue.latency_objective = 60s;
        policy_timing advice;
        advice.base = 10ms;
        advice.per_worker = std::chrono::duration<double, std::milli>(0.1);
        advice.valid = permit_validity;
        queue.advice = advice;
        account_settings capped;
        capped.name = account_name("capped");
        capped.cap = {cores * 1'000, 0, 0};
        account_settings other;
        other.name = account_name("other");
        config = configuration(++version, {queue}, {capped, other}, {});
    }

    static step_spec tasks(std::uint32_t count, std::int64_t milli_processors)
    {
        step_spec step;
        step.count = count;
        step.each = {milli_processors, 100, 0};
        step.estimate = 1s;
        return step;
    }

    void submit(
        const std::string& id,
        const step_spec& step,
        const std::string& account = "capped")
    {
        accepted_job job;
        job.id = job_id(id);
        job.queue = queue_name("work");
        job.account = account_name(account);
        job.request.steps = {step};
        now += 1ms;
        jobs.add(std::move(job), false, now);
    }

    /// Adds a run that does not end.
    void add_run(
        const std::string& worker,
        std::int64_t milli_processors,
        const std::string& account = "capped")
    {
        run_entry run;
        run.task = {{job_id("run-on-" + worker), 0, 0}, 0};
        run.run = 1;
        run.needs = {milli_processors, 100, 0};
        run.account = account_name(account);
        workers.add_run(*workers.find(worker_id(worker)), run);
    }

    plan decide()
    {
        return decider.decide(jobs, workers, config, now, true, budget);
    }

    /// Answers all requests of a plan, each with at most so many workers.
    void answer(const plan& decided, std::size_t most_allowed)
    {
        for (const permit_request& request : decided.permit_requests)
        {
            permits given;
            given.valid = permit_validity;
            for (const worker_id& worker : request.workers)
            {
                if (given.allowed.size() < most_allowed)
                {
                    given.allowed.push_back({worker, "ticket"});
                }
            }
            decider.permits().note_answer(
                jobs,
                workers,
                request.step,
                request.workers,
                given,
                now + permit_validity);
        }
    }

    /// Decides for 20 s, all requests being allowed. Returns how often a permit
    /// was asked for or a task was started for each job.
    std::map<job_id, int> decide_for_20_s()
    {
        std::map<job_id, int> acts;
        for (int n = 0; n < passes_in_20_s; ++n)
        {
            const plan decided = decide();
            for (const permit_request& each : decided.permit_requests)
            {
                ++acts[each.step.job];
            }
            for (const auto& each : decided.starts)
            {
                ++acts[each.task.step.job];
            }
            answer(decided, 100);
            now += pass_interval;
        }
        return acts;
    }

    job_tracker jobs{1};
    worker_table workers;
    planner decider;
    configuration config;
    instant now{100s};
    permit_request_budget budget{100, 100, 150ms};
    int version = 0;
};

} // namespace

// Guards against a gang that its account's cap does not admit and whose permits
// have expired: it counted as about to start, so that nothing of the account
// behind it was asked about.
TEST_CASE("a gang at its cap with expired permits holds up no later job")
{
    const bool cap_is_lowered = GENERATE(false, true);
    CAPTURE(cap_is_lowered);
    permit_fixture fixture(4);
    fixture.set_cap(10);
    step_spec gang = permit_fixture::tasks(8, 1'000);
    gang.gang = true;
    fixture.submit("gang", gang);
    for (const char* worker : {"w0", "w1", "w2", "w3"})
    {
        fixture.add_run(worker, 7'000, "other");
    }
    fixture.answer(fixture.decide(), 1);
    for (const std::string worker : {"w0", "w1", "w2", "w3"})
    {
        fixture.workers.remove_run(
            *fixture.workers.find(worker_id(worker)),
            {{job_id("run-on-" + worker), 0, 0}, 0},
            1);
    }
    if (cap_is_lowered)
    {
        fixture.set_cap(5);
    }
    else
    {
        fixture.add_run("w0", 3'000);
    }
    fixture.now += 2 * permit_validity;
    fixture.submit("b", permit_fixture::tasks(1, 1'000));
    CHECK(fixture.decide_for_20_s()[job_id("b")] > 0);
}

// Guards against a task that is too large for what the cap leaves, as the
// account's other runs last: its permits expired, and it asked for them again
// before all later jobs.
TEST_CASE("a task that the cap does not admit holds up no smaller one")
{
    permit_fixture fixture(4);
    fixture.set_cap(10);
    fixture.add_run("w0", 4'000);
    fixture.submit("a", permit_fixture::tasks(1, 7'000));
    fixture.submit("b", permit_fixture::tasks(1, 2'500));
    auto acts = fixture.decide_for_20_s();
    CHECK(acts[job_id("b")] > 0);
    CHECK(acts[job_id("a")] <= 2);
}

// Guards against a backlog of steps that no worker can run: searching workers
// for them used up each pass, so that no other account's work was asked about.
TEST_CASE("steps that no worker can run hold up no other work")
{
    constexpr int heads = 40; // More than one pass may search for.
    const std::string account = GENERATE("capped", "other");
    CAPTURE(account);
    permit_fixture fixture(1'100);
    for (int n = 0; n < heads; ++n)
    {
        step_spec head = permit_fixture::tasks(1, 1'000);
        head.required_label = "arm";
        fixture.submit("head" + std::to_string(n), head);
    }
    fixture.submit("b", permit_fixture::tasks(1, 1'000), account);
    CHECK(fixture.decide_for_20_s()[job_id("b")] > 0);
}

// Guards against a step that a worker may run after it has restarted, and that
// is not asked about, as the worker's earlier life was not allowed.
TEST_CASE(
    "a worker that was not allowed is asked for again after its restart",
    "[known-red]")
{
    permit_fixture fixture(1);
    fixture.submit("a", permit_fixture::tasks(1, 1'000));
    const plan first = fixture.decide();
    REQUIRE(first.permit_requests.size() == 1);
    fixture.answer(first, 0);
    worker_registration registration =
        fixture.workers.find(worker_id("w0"))->registration;
    ++registration.incarnation;
    fixture.workers.upsert(registration);
    worker_entry& restarted = *fixture.workers.find(registration.id);
    restarted.described_incarnation = registration.incarnation;
    restarted.sealed = true;
    fixture.now += pass_interval;
    CHECK(fixture.decide_for_20_s()[job_id("a")] > 0);
}

// Guards against a VM that does not reach the policy service and takes all
// questions of a backlog, as the other VM was kept free for other accounts.
TEST_CASE("one of two VMs that gets no answers leaves the other one at work")
{
    const std::string cut = GENERATE("a", "b");
    CAPTURE(cut);
    constexpr milliseconds answer_time{20};
    constexpr milliseconds failure_time{800};
    advice_dispatcher dispatcher;
    instant now{100s};
    std::map<std::string, permit_request> working;
    std::map<std::string, instant> until{{"a", now}, {"b", now}};
    std::uint32_t unanswered = 0;
    int made = 0;
    int answered = 0;
    for (int t = 0; t < 20'000; ++t, now += 1ms)
    {
        while (dispatcher.budget(now).short_requests > 0)
        {
            permit_request question;
            question.step = {job_id("s" + std::to_string(++made)), 0, 0};
            question.workers = {worker_id("w")};
            question.priority = 1;
            question.expected = answer_time;
            question.turn = unanswered++;
            dispatcher.add(question);
        }
        for (const std::string vm : {"a", "b"})
        {
            if (!until.contains(vm) || until.at(vm) > now)
            {
                continue;
            }
            until.erase(vm);
            if (const auto at = working.extract(vm); !at.empty())
            {
                const permit_request& question = at.mapped();
                if (dispatcher.finish(
                        instance_id(vm), question.step, question.number))
                {
                    --unanswered;
                    answered += vm == cut ? 0 : 1;
                }
            }
            dispatcher.request_question(
                instance_id(vm),
                now,
                now + 700ms,
                [&, vm](std::optional<permit_request> question)
                {
                    until[vm] = now + 1ms;
                    if (question)
                    {
                        working[vm] = *question;
                        until[vm] =
                            now + (vm == cut ? failure_time : answer_time);
                    }
                });
        }
        unanswered -=
            static_cast<std::uint32_t>(dispatcher.dispatch(now).size());
    }
    // Half of what one VM can have answered.
    CHECK(answered >= 20'000ms / answer_time / 2);
}
