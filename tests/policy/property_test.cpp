#include "policy/fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace acaciastile;
using acaciastile::test::fixture;

namespace
{

constexpr int workers = 12;
constexpr resources capacity{8000, 8192, 0};
constexpr resources allowance{60000, 60000, 0};
constexpr int rounds = 600;

struct running
{
    task_id task;
    worker_id worker;
    resources granted;
    team_name team;
    int ends = 0;
};

/// Plays a random sequence of arrivals, ends, failures, cancellations and
/// worker changes, with every rule checked after each decision.
class random_run
{
public:
    explicit random_run(std::uint64_t seed) : random_(seed)
    {
        env_.sched->set_allowance(team_name("north"), allowance);
        env_.sched->set_allowance(team_name("south"), allowance);
        for (int number = 0; number < workers; ++number)
        {
            env_.open_worker("w" + std::to_string(number), capacity);
        }
    }

    void play()
    {
        for (round_ = 0; round_ < rounds; ++round_)
        {
            bool arriving = round_ < rounds / 2;
            if (arriving && chance(40))
            {
                submit();
            }
            if (arriving && chance(5))
            {
                cancel();
            }
            toggle_worker();
            end_due_tasks();
            record(env_.decide(round_ * 5'000, 50));
        }
    }

    /// What was decided, in order.
    std::string transcript;
    std::size_t violations = 0;
    std::map<std::string, int> waiting; ///< Tasks without a place, by job.

private:
    bool chance(int percent)
    {
        return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
    }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
    }

    void submit()
    {
        auto policy = static_cast<work_class>(between(0, 4));
        if (policy == work_class::service)
        {
            policy = work_class::batch;
        }
        std::string id = "j" + std::to_string(next_job_++);
        auto tasks = static_cast<std::uint32_t>(between(1, 6));
        resources each{between(1, 16) * 500, between(1, 16) * 500, 0};
        job_request job = fixture::job(
            id,
            chance(70) ? "north" : "south",
            policy,
            each,
            tasks,
            round_ * 5'000);
        job.name = "n" + std::to_string(between(0, 3));
        if (!env_.sched->check_feasible(job))
        {
            return;
        }
        jobs_[id] = job;
        waiting[id] = static_cast<int>(tasks);
        env_.sched->enqueue(job);
    }

    void cancel()
    {
        if (jobs_.empty())
        {
            return;
        }
        auto at = jobs_.begin();
        std::advance(
            at, between(0, static_cast<std::int64_t>(jobs_.size()) - 1));
        env_.sched->withdraw(at->second.job);
        cancelled_.insert(at->first);
        waiting.erase(at->first);
    }

    void toggle_worker()
    {
        if (round_ % 50 == 10)
        {
            env_.sched->set_worker_state(worker_id("w3"), worker_state::closed);
            closed_ = "w3";
        }
        if (round_ % 50 == 30)
        {
            env_.sched->set_worker_state(worker_id("w3"), worker_state::open);
            closed_.clear();
        }
    }

    void end_due_tasks()
    {
        for (std::size_t at = running_.size(); at-- > 0;)
        {
            if (running_[at].ends > round_)
            {
                continue;
            }
            task_end ended;
            ended.succeeded = !chance(5);
            ended.ran = milliseconds(5'000);
            ended.peak_usage = running_[at].granted;
            env_.sched->end(running_[at].task, ended);
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }

    void record(const decisions& decided)
    {
        std::map<std::string, int> of_gang;
        for (const placement& placed : decided.placements)
        {
            const std::string& id = placed.task.job.str();
            const job_request& job = jobs_.at(id);
            transcript +=
                to_string(placed.task) + "@" + placed.worker.str() + "\n";
            violations += placed.worker.str() == closed_ ? 1 : 0;
            violations += cancelled_.contains(id) ? 1 : 0;
            if (--waiting[id] == 0)
            {
                waiting.erase(id);
            }
            of_gang[id] += job.kind == job_kind::gang ? 1 : 0;
            int lasts = static_cast<int>(between(1, 20));
            running_.push_back(
                {placed.task,
                 placed.worker,
                 placed.granted,
                 job.team,
                 round_ + lasts});
        }
        for (const auto& [id, count] : of_gang)
        {
            auto tasks = static_cast<int>(jobs_.at(id).waiting.size());
            violations += count != 0 && count != tasks ? 1 : 0;
        }
        for (const preemption& stopped : decided.preemptions)
        {
            transcript += "!" + to_string(stopped.task) + "\n";
        }
        check_sums();
    }

    void check_sums()
    {
        std::map<worker_id, resources> held;
        std::map<team_name, resources> used;
        std::set<task_id> seen;
        for (const running& one : running_)
        {
            held[one.worker] += one.granted;
            used[one.team] += one.granted;
            violations += seen.insert(one.task).second ? 0 : 1;
        }
        for (const auto& [worker, sum] : held)
        {
            violations += sum.fits_in(capacity) ? 0 : 1;
        }
        for (const auto& [team, sum] : used)
        {
            violations += sum.fits_in(allowance) ? 0 : 1;
            violations += env_.sched->usage_of(team) == sum ? 0 : 1;
        }
    }

    fixture env_;
    std::mt19937_64 random_;
    std::map<std::string, job_request> jobs_;
    std::set<std::string> cancelled_;
    std::vector<running> running_;
    std::string closed_;
    int next_job_ = 0;
    int round_ = 0;
};

} // namespace

TEST_CASE("random histories break no rule and starve nobody", "[property]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        random_run one(seed);
        one.play();
        INFO("seed " << seed);
        CHECK(one.violations == 0);
        CHECK(one.waiting.empty());
    }
}

TEST_CASE("the same calls give the same decisions", "[determinism]")
{
    random_run first(99);
    random_run second(99);
    first.play();
    second.play();
    CHECK_FALSE(first.transcript.empty());
    CHECK(first.transcript == second.transcript);
}
