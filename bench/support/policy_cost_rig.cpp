#include "support/policy_cost_rig.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace acaciastile::bench
{

namespace
{

constexpr std::size_t fill_limit = 1'000;
constexpr std::size_t cancel_limit = 100;
constexpr std::size_t cancel_batch = 1'000;
constexpr std::size_t tasks_per_job = 4;
constexpr double fill_seconds = 10.0;

double us_since(std::chrono::steady_clock::time_point start)
{
    std::chrono::duration<double, std::micro> passed =
        std::chrono::steady_clock::now() - start;
    return passed.count();
}

cost_times
summarize(std::vector<double> calls, std::size_t placements, double all_us)
{
    cost_times times;
    times.calls = calls.size();
    times.placements = placements;
    if (calls.empty())
    {
        return times;
    }
    std::sort(calls.begin(), calls.end());
    times.p50_us = calls[calls.size() / 2];
    times.p99_us = calls[calls.size() * 99 / 100];
    times.longest_us = calls.back();
    times.placements_per_s = static_cast<double>(placements) * 1e6 / all_us;
    return times;
}

} // namespace

cost_rig::cost_rig(scheduler& tested, cost_size size, std::uint64_t seed)
    : scheduler_(tested), size_(size), random_(seed)
{
    add_rules();
    add_workers();
    queue_up_to(size_.queued);
}

void cost_rig::add_workers()
{
    for (std::size_t at = 0; at < size_.workers; ++at)
    {
        worker_entry worker;
        worker.id = worker_id("worker-" + std::to_string(100'000 + at));
        worker.rack = rack_name("r" + std::to_string(at / 24));
        worker.data_centre = data_centre_name("d" + std::to_string(at % 24));
        bool accelerated = at % 9 == 0;
        worker.capacity = {32'000, 131'072, accelerated ? 16 : 0};
        scheduler_.set_worker(worker);
        scheduler_.set_worker_state(worker.id, worker_state::open);
    }
}

void cost_rig::add_rules()
{
    resources limit{1'000'000'000, 4'000'000'000, 100'000};
    std::vector<team_rule> teams;
    for (std::size_t at = 0; at < size_.teams; ++at)
    {
        team_rule team;
        team.name = team_name("team" + std::to_string(1000 + at));
        team.share = static_cast<std::uint32_t>(1 + at % 7);
        team.upper_limit = limit;
        teams.push_back(team);
        scheduler_.set_allowance(team.name, limit);
    }
    std::vector<queue_rule> queues;
    for (const auto& [policy, name] : work_class_names)
    {
        queue_rule queue;
        queue.name = queue_name(std::string(name));
        queue.policy = policy;
        queue.preemptible = policy == work_class::batch;
        queues.push_back(queue);
    }
    scheduler_.set_rules(rules::create(teams, queues).value());
}

job_request cost_rig::next_job(std::uint32_t tasks)
{
    std::uniform_real_distribution<double> part(0.0, 1.0);
    std::uniform_int_distribution<std::size_t> team(0, size_.teams - 1);
    job_request job;
    job.job = job_id("job-" + std::to_string(next_job_++));
    job.team = team_name("team" + std::to_string(1000 + team(random_)));
    double kind = part(random_);
    job.queue = queue_name(
        kind < 0.02   ? "urgent"
        : kind < 0.05 ? "status"
                      : "batch");
    job.name = "n" + std::to_string(next_job_ % 7);
    auto milli = static_cast<std::int64_t>(
        1000.0 * std::exp(part(random_) * std::log(16.0)));
    auto memory = static_cast<std::int64_t>(
        static_cast<double>(milli) * (1.0 + 4.0 * part(random_)));
    bool accelerated = part(random_) < 0.1;
    job.each = {milli, memory, accelerated ? 1 : 0};
    job.run_time = milliseconds(60'000);
    job.queued_at = instant(milliseconds(now_ms_));
    for (std::uint32_t index = 0; index < tasks; ++index)
    {
        job.waiting.push_back(index);
    }
    return job;
}

void cost_rig::queue_up_to(std::size_t waiting)
{
    while (waiting_ < waiting)
    {
        std::size_t tasks = std::min(tasks_per_job, waiting - waiting_);
        job_request job = next_job(static_cast<std::uint32_t>(tasks));
        scheduler_.enqueue(job);
        queued_jobs_.push_back(job.job);
        waiting_ += tasks;
    }
}

void cost_rig::record(const decisions& decided)
{
    for (const placement& placed : decided.placements)
    {
        running_.push_back(placed.task);
    }
    waiting_ -= decided.placements.size();
}

void cost_rig::end_some(std::size_t count)
{
    task_end ended;
    ended.ran = milliseconds(60'000);
    for (std::size_t at = 0; at < count && !running_.empty(); ++at)
    {
        std::uniform_int_distribution<std::size_t> any(0, running_.size() - 1);
        std::swap(running_[any(random_)], running_.back());
        scheduler_.end(running_.back(), ended);
        running_.pop_back();
    }
}

cost_times cost_rig::fill()
{
    std::vector<double> calls;
    std::size_t placements = 0;
    double all_us = 0.0;
    bool full = false;
    while (!full && all_us < fill_seconds * 1e6)
    {
        auto start = std::chrono::steady_clock::now();
        decisions decided =
            scheduler_.decide(instant(milliseconds(++now_ms_)), fill_limit);
        calls.push_back(us_since(start));
        placements += decided.placements.size();
        full = decided.placements.size() < fill_limit;
        record(decided);
        queue_up_to(size_.queued);
        all_us += us_since(start);
    }
    return summarize(std::move(calls), placements, all_us);
}

cost_times cost_rig::churn(std::size_t each, double seconds)
{
    std::vector<double> calls;
    std::size_t placements = 0;
    double all_us = 0.0;
    while (all_us < seconds * 1e6)
    {
        auto start = std::chrono::steady_clock::now();
        end_some(each);
        queue_up_to(size_.queued);
        auto decide_start = std::chrono::steady_clock::now();
        decisions decided =
            scheduler_.decide(instant(milliseconds(++now_ms_)), fill_limit);
        calls.push_back(us_since(decide_start));
        placements += decided.placements.size();
        record(decided);
        all_us += us_since(start);
    }
    return summarize(std::move(calls), placements, all_us);
}

cancel_times cost_rig::cancel()
{
    cancel_times times;
    std::size_t target = waiting_ + 2 * size_.queued;
    std::vector<job_id> wave;
    for (; waiting_ < target; ++waiting_)
    {
        job_request job = next_job(1);
        scheduler_.enqueue(job);
        wave.push_back(job.job);
    }
    std::size_t half = wave.size() / 2;
    times.cancelled = half;
    auto start = std::chrono::steady_clock::now();
    for (std::size_t at = 0; at < half; ++at)
    {
        scheduler_.withdraw(wave[at]);
    }
    times.all_ms = us_since(start) / 1000.0;
    start = std::chrono::steady_clock::now();
    decisions next =
        scheduler_.decide(instant(milliseconds(++now_ms_)), cancel_limit);
    times.next_placements = next.placements.size();
    record(next);
    times.next_call_ms = us_since(start) / 1000.0;
    for (std::size_t at = half; at < wave.size(); at += cancel_batch)
    {
        end_some(10);
        start = std::chrono::steady_clock::now();
        std::size_t until = std::min(at + cancel_batch, wave.size());
        for (std::size_t one = at; one < until; ++one)
        {
            scheduler_.withdraw(wave[one]);
        }
        auto decide_start = std::chrono::steady_clock::now();
        decisions decided =
            scheduler_.decide(instant(milliseconds(++now_ms_)), cancel_limit);
        times.decision_ms =
            std::max(times.decision_ms, us_since(decide_start) / 1000.0);
        record(decided);
        times.slice_ms = std::max(times.slice_ms, us_since(start) / 1000.0);
    }
    return times;
}

} // namespace acaciastile::bench
