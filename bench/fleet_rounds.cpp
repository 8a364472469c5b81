// Measures a planning pass of src/fleet at rising numbers of workers and open
// jobs, under the load patterns of the users' platform: urgent jobs of a few
// tasks, wide batches, and gangs, all with permits of a policy service that
// allows a part of the workers. Runs end and jobs arrive between the passes.

#include "fleet/planner.hpp"

#include <absl/hash/hash.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <random>
#include <vector>

using namespace acaciastile;
using namespace acaciastile::fleet;

namespace
{

std::atomic<std::uint64_t> allocations{0};

/// One kind of job, with the share of the workers that its policy allows.
struct load_pattern
{
    const char* queue;
    std::uint32_t priority;
    double jobs_share;
    std::uint32_t tasks;
    resources each;
    bool gang;
    double policy_base_ms;
    double policy_worker_ms;
    double allowed_share;
};

constexpr load_pattern patterns[] = {
    {"urgent", 0, 0.85, 4, {8'000, 22'000, 0}, false, 9, 0.13, 0.7},
    {"batch", 2, 0.10, 50, {5'500, 11'000, 0}, false, 140, 2, 0.45},
    {"gang", 1, 0.05, 40, {9'000, 34'000, 0}, true, 620, 8.8, 0.25}};

constexpr std::size_t changes_per_pass = 100;
constexpr std::chrono::milliseconds pass_interval{20};
/// Entry VMs that put questions to the policy service.
constexpr std::size_t questions_per_pass = 147;

class fleet_load
{
public:
    fleet_load(std::size_t workers, std::size_t jobs)
    {
        std::vector<queue_settings> queues;
        for (const load_pattern& pattern : patterns)
        {
            queue_settings queue;
            queue.name = queue_name(pattern.queue);
            queue.service = service_name("svc");
            queue.priority = pattern.priority;
            queue.attempts = 3;
            queue.stretch = 3.0;
            queue.latency_objective = std::chrono::seconds(1);
            queue.advice.emplace();
            queue.advice->base =
                decltype(queue.advice->base)(pattern.policy_base_ms);
            queue.advice->per_worker =
                decltype(queue.advice->per_worker)(pattern.policy_worker_ms);
            queue.advice->valid = std::chrono::milliseconds(1'500);
            queues.push_back(std::move(queue));
        }
        account_settings account;
        account.name = account_name("acct");
        config_ = configuration(1, std::move(queues), {account}, {});
        for (std::size_t n = 0; n < workers; ++n)
        {
            worker_registration registration;
            registration.id = worker_id("i-" + std::to_string(100'000 + n));
            registration.service = service_name("svc");
            registration.rack = rack_name("r1-" + std::to_string(n / 12));
            registration.capacity = {32'000, 131'072, 0};
            workers_.upsert(registration);
            workers_.find(registration.id)->sealed = true;
        }
        while (jobs_.open().size() < jobs)
        {
            submit();
        }
        open_jobs_ = jobs;
    }

    /// Plans once, and returns the time that the pass took.
    std::chrono::nanoseconds plan_once()
    {
        const std::uint64_t before = allocations;
        const auto begin = std::chrono::steady_clock::now();
        const plan decided = planner_.decide(
            jobs_,
            workers_,
            config_,
            now_,
            true,
            {questions_per_pass, 2, std::chrono::milliseconds(150)});
        const auto took = std::chrono::steady_clock::now() - begin;
        allocated_ += allocations - before;
        starts_ += decided.starts.size();
        for (const start_decision& start : decided.starts)
        {
            running_.push_back(start);
        }
        for (const permit_request& request : decided.permit_requests)
        {
            answer(request);
        }
        return took;
    }

    /// Ends runs, and submits as many jobs as have ended.
    void change()
    {
        now_ += pass_interval;
        for (std::size_t n = 0; n < changes_per_pass && !running_.empty(); ++n)
        {
            const std::size_t at = random_() % running_.size();
            const start_decision run = running_[at];
            running_[at] = running_.back();
            running_.pop_back();
            workers_.remove_run(*workers_.find(run.worker), run.task, run.run);
            jobs_.record_end(run.task, run.run, run_end::done, {}, 3, {});
        }
        while (jobs_.open().size() < open_jobs_)
        {
            submit();
        }
    }

    [[nodiscard]] std::size_t starts() const { return starts_; }
    [[nodiscard]] std::uint64_t allocated() const { return allocated_; }

private:
    void submit()
    {
        double draw = static_cast<double>(random_() % 1'000) / 1'000;
        const load_pattern* pattern = patterns;
        while (draw >= pattern->jobs_share && pattern + 1 != std::end(patterns))
        {
            draw -= pattern->jobs_share;
            ++pattern;
        }
        step_spec step;
        step.count = pattern->tasks;
        step.each = pattern->each;
        step.gang = pattern->gang;
        step.estimate = std::chrono::seconds(2);
        accepted_job job;
        job.id = job_id("5c0e7a21d94b" + std::to_string(1'000'000 + next_++));
        job.queue = queue_name(pattern->queue);
        job.account = account_name("acct");
        job.request.steps = {step};
        jobs_.add(std::move(job), false, now_);
    }

    void answer(const permit_request& request)
    {
        const step_entry* step = jobs_.find(request.step);
        const job_entry* job = jobs_.find(request.step.job);
        double share = 1.0;
        for (const load_pattern& pattern : patterns)
        {
            share = job->job.queue.str() == pattern.queue
                        ? pattern.allowed_share
                        : share;
        }
        permits granted;
        for (const worker_id& worker : request.workers)
        {
            const std::size_t draw =
                absl::HashOf(worker.str(), step->id.job.str()) % 1'000;
            if (static_cast<double>(draw) < share * 1'000)
            {
                granted.allowed.push_back({worker, "5c0e7a21d94b36f8"});
            }
        }
        planner_.permits().note_answer(
            jobs_,
            workers_,
            request.step,
            request.workers,
            granted,
            now_ + std::chrono::milliseconds(1'480));
    }

    job_tracker jobs_{1};
    worker_table workers_;
    planner planner_;
    configuration config_;
    instant now_{std::chrono::seconds(100)};
    std::mt19937_64 random_{1};
    std::vector<start_decision> running_;
    std::size_t open_jobs_ = 0;
    std::uint64_t next_ = 0;
    std::size_t starts_ = 0;
    std::uint64_t allocated_ = 0;
};

void measure(std::size_t workers, std::size_t jobs)
{
    constexpr int max_passes = 200;
    constexpr std::chrono::seconds time_limit{3};
    fleet_load load(workers, jobs);
    std::chrono::nanoseconds spent{0};
    int passes = 0;
    while (passes < max_passes && spent < time_limit)
    {
        spent += load.plan_once();
        load.change();
        ++passes;
    }
    const double us = static_cast<double>(spent.count()) / 1'000;
    std::printf(
        "%7zu %7zu %7d %12.1f %9zu %12.2f %12.1f\n",
        workers,
        jobs,
        passes,
        us / passes,
        load.starts(),
        load.starts() == 0 ? 0.0 : us / static_cast<double>(load.starts()),
        static_cast<double>(load.allocated()) / passes);
}

} // namespace

void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
    {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

int main()
{
    std::printf("workers    jobs  passes us_per_pass    starts us_per_start "
                "allocs_a_pass\n");
    for (const std::size_t workers : {48U, 350U, 1'100U, 23'000U})
    {
        for (const std::size_t jobs : {100U, 1'000U, 10'000U})
        {
            measure(workers, jobs);
        }
    }
    return 0;
}
