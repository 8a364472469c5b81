#include "support/policy_replay.hpp"

#include "policy/worker_pool.hpp"
#include "support/share_windows.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <queue>
#include <tuple>
#include <vector>
#include <xxhash.h>

namespace acaciastile::bench
{

namespace
{

constexpr milliseconds tick{100};
constexpr milliseconds idle_decision_every{1'000};
constexpr milliseconds sample_every{10'000};
/// Time from a task's start until its true usage is reported.
constexpr milliseconds usage_lag{30'000};
constexpr milliseconds bad_worker_fails_after{1'000};
constexpr milliseconds bad_job_fails_after{2'000};
constexpr milliseconds retry_after{1'000};
constexpr milliseconds checkpoint_time{5'000};
constexpr milliseconds restart_time{10'000};
/// Time from the start of the worker faults until starts count as settled; the
/// scheduler has this long to quarantine the bad workers.
constexpr milliseconds quarantine_settles{600'000};
/// Attempts at each task of a job that fails on every worker.
constexpr std::uint32_t attempts_of_bad_jobs = 3;
/// Most placements of one `decide` call.
constexpr std::size_t decision_limit = 500;
/// Size of one task of the hypothetical gang in `outcome::largest_gang`.
constexpr resources gang_probe{4000, 8192, 0};

enum class simulation_event_kind : std::uint8_t
{
    arrives,
    cancelled,
    ends,
    checkpointed,
    usage,
    retried
};

struct simulation_event
{
    milliseconds at{0};
    std::uint64_t order = 0;
    simulation_event_kind kind = simulation_event_kind::arrives;
    std::uint32_t job = 0;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    [[nodiscard]] bool operator>(const simulation_event& other) const noexcept
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct task_run
{
    milliseconds remaining{0};
    milliseconds started{0};
    milliseconds first_good_start{-1};
    std::uint32_t attempt = 0;
    std::uint32_t worker = 0;
    resources granted;
    bool runs = false;
    bool over = false;
    bool resumed = false;
};

struct worker_load
{
    resources granted;
    resources used;
    bool bad = false;
};

class replayer
{
public:
    replayer(const workload& work, scheduler& tested)
        : work_(work), scheduler_(tested), shares_(work)
    {
    }

    outcome run()
    {
        prepare();
        milliseconds next_sample = sample_every;
        milliseconds next_idle{0};
        for (milliseconds now{0}; now < work_.horizon; now += tick)
        {
            now_ = now;
            bool changed = process_due_events();
            if (changed || now >= next_idle)
            {
                decide();
                next_idle = now + idle_decision_every;
            }
            if (now >= next_sample)
            {
                sample();
                next_sample += sample_every;
            }
        }
        finish();
        return outcome_;
    }

private:
    void prepare()
    {
        outcome_.workload = work_.name;
        scheduler_.set_rules(work_.in_force);
        loads_.resize(work_.workers.size());
        for (std::uint32_t at = 0; at < work_.workers.size(); ++at)
        {
            const worker_entry& worker = work_.workers[at];
            total_ += worker.capacity;
            worker_at_[worker.id] = at;
            scheduler_.set_worker(worker);
            scheduler_.set_worker_state(worker.id, worker_state::open);
        }
        for (const team_rule& team : work_.in_force.teams())
        {
            scheduler_.set_allowance(team.name, team.upper_limit);
        }
        runs_.resize(work_.jobs.size());
        for (std::uint32_t at = 0; at < work_.jobs.size(); ++at)
        {
            const planned_job& job = work_.jobs[at];
            milliseconds arrives = job.request.queued_at.time_since_epoch();
            job_at_[job.request.job] = at;
            for (milliseconds run : job.true_run)
            {
                runs_[at].push_back({run});
            }
            schedule(arrives, simulation_event_kind::arrives, at);
            if (job.cancel_after.count() > 0)
            {
                milliseconds when = arrives + job.cancel_after;
                schedule(when, simulation_event_kind::cancelled, at);
            }
        }
    }

    void schedule(
        milliseconds at,
        simulation_event_kind kind,
        std::uint32_t job,
        std::uint32_t task = 0,
        std::uint32_t attempt = 0)
    {
        pending_.push({at, next_order_++, kind, job, task, attempt});
    }

    bool process_due_events()
    {
        bool changed = false;
        while (!pending_.empty() && pending_.top().at <= now_)
        {
            simulation_event next = pending_.top();
            pending_.pop();
            process(next);
            changed = true;
        }
        return changed;
    }

    void process(const simulation_event& next)
    {
        const planned_job& job = work_.jobs[next.job];
        switch (next.kind)
        {
        case simulation_event_kind::arrives:
            scheduler_.enqueue(job.request);
            return;
        case simulation_event_kind::cancelled:
            cancel(next.job);
            return;
        case simulation_event_kind::retried:
            retry(next.job, next.task);
            return;
        default:
            break;
        }
        task_run& run = runs_[next.job][next.task];
        if (!run.runs || run.attempt != next.attempt)
        {
            return;
        }
        if (next.kind == simulation_event_kind::usage)
        {
            scheduler_.set_usage({job.request.job, next.task}, job.true_each);
        }
        else if (next.kind == simulation_event_kind::checkpointed)
        {
            stop(next.job, next.task);
            run.resumed = true;
            schedule(now_, simulation_event_kind::retried, next.job, next.task);
        }
        else
        {
            end(next.job, next.task);
        }
    }

    void retry(std::uint32_t job, std::uint32_t task)
    {
        if (runs_[job][task].over)
        {
            return;
        }
        job_request again = work_.jobs[job].request;
        again.waiting = {task};
        scheduler_.enqueue(again);
    }

    void cancel(std::uint32_t job)
    {
        scheduler_.withdraw(work_.jobs[job].request.job);
        for (std::uint32_t task = 0; task < runs_[job].size(); ++task)
        {
            if (runs_[job][task].runs)
            {
                stop(job, task);
            }
            runs_[job][task].over = true;
        }
    }

    void release_worker(std::uint32_t job, task_run& run)
    {
        loads_[run.worker].granted -= run.granted;
        loads_[run.worker].used -= work_.jobs[job].true_each;
        shares_.release(job, run.granted, work_.jobs[job].true_each);
        run.runs = false;
    }

    void stop(std::uint32_t job, std::uint32_t task)
    {
        task_run& run = runs_[job][task];
        release_worker(job, run);
        milliseconds ran = now_ - run.started;
        run.remaining = std::max(milliseconds(0), run.remaining - ran);
        task_end how;
        how.succeeded = false;
        how.stopped = true;
        how.ran = ran;
        scheduler_.end({work_.jobs[job].request.job, task}, how);
    }

    void end(std::uint32_t job, std::uint32_t task)
    {
        const planned_job& planned = work_.jobs[job];
        task_run& run = runs_[job][task];
        bool bad = loads_[run.worker].bad;
        release_worker(job, run);
        task_end how;
        how.succeeded = !bad && !planned.fails_everywhere;
        how.ran = now_ - run.started;
        how.peak_usage = planned.true_each;
        scheduler_.end({planned.request.job, task}, how);
        if (how.succeeded)
        {
            ++outcome_.ends_well;
            run.over = true;
            return;
        }
        if (planned.fails_everywhere && run.attempt >= attempts_of_bad_jobs)
        {
            run.over = true;
            return;
        }
        schedule(now_ + retry_after, simulation_event_kind::retried, job, task);
    }

    void decide()
    {
        bool more = true;
        while (more)
        {
            auto before = std::chrono::steady_clock::now();
            decisions made = scheduler_.decide(instant(now_), decision_limit);
            auto after = std::chrono::steady_clock::now();
            std::chrono::duration<double, std::micro> took = after - before;
            calls_us_.push_back(took.count());
            decision_us_ += took.count();
            for (const placement& placed : made.placements)
            {
                start(placed);
            }
            for (const preemption& stopped : made.preemptions)
            {
                preempt(stopped);
            }
            more = made.placements.size() >= decision_limit;
        }
    }

    void add_to_digest(const std::string& text)
    {
        outcome_.digest =
            XXH3_64bits_withSeed(text.data(), text.size(), outcome_.digest);
    }

    void start(const placement& placed)
    {
        add_to_digest(to_string(placed.task) + "@" + placed.worker.str());
        std::uint32_t job = job_at_.at(placed.task.job);
        std::uint32_t task = placed.task.index;
        const planned_job& planned = work_.jobs[job];
        task_run& run = runs_[job][task];
        outcome_.two_places += run.runs || run.over ? 1 : 0;
        run.worker = worker_at_.at(placed.worker);
        run.granted = placed.granted;
        run.started = now_;
        run.runs = true;
        ++run.attempt;
        worker_load& load = loads_[run.worker];
        load.bad = now_ >= work_.bad_from &&
                   std::find(
                       work_.bad_workers.begin(),
                       work_.bad_workers.end(),
                       run.worker) != work_.bad_workers.end();
        load.granted += run.granted;
        load.used += planned.true_each;
        const resources& held = work_.workers[run.worker].capacity;
        outcome_.over_granted += load.granted.fits_in(held) ? 0 : 1;
        outcome_.over_allowance +=
            shares_.hold(job, run.granted, planned.true_each) ? 0 : 1;
        record_start(job, run, load.bad);
        milliseconds lasts = run_length(planned, run, load.bad);
        schedule(
            now_ + lasts, simulation_event_kind::ends, job, task, run.attempt);
        if (lasts > usage_lag)
        {
            milliseconds seen = now_ + usage_lag;
            schedule(
                seen, simulation_event_kind::usage, job, task, run.attempt);
        }
    }

    static milliseconds
    run_length(const planned_job& planned, const task_run& run, bool bad)
    {
        if (bad)
        {
            return bad_worker_fails_after;
        }
        if (planned.fails_everywhere)
        {
            return std::min(run.remaining, bad_job_fails_after);
        }
        return run.remaining + (run.resumed ? restart_time : milliseconds(0));
    }

    void record_start(std::uint32_t job, task_run& run, bool bad)
    {
        ++outcome_.starts;
        bool settled = now_ >= work_.bad_from + quarantine_settles;
        outcome_.settled_starts += settled ? 1 : 0;
        if (bad)
        {
            ++outcome_.lost_to_bad;
            outcome_.settled_lost += settled ? 1 : 0;
            return;
        }
        if (run.first_good_start.count() < 0)
        {
            run.first_good_start = now_;
            const planned_job& planned = work_.jobs[job];
            record_wait(planned, now_);
        }
    }

    void record_wait(const planned_job& planned, milliseconds until)
    {
        milliseconds since = planned.request.queued_at.time_since_epoch();
        double seconds = static_cast<double>((until - since).count()) / 1000.0;
        waits_[static_cast<std::size_t>(planned.policy)].push_back(seconds);
    }

    void preempt(const preemption& stopped)
    {
        add_to_digest("!" + to_string(stopped.task));
        std::uint32_t job = job_at_.at(stopped.task.job);
        std::uint32_t task = stopped.task.index;
        task_run& run = runs_[job][task];
        if (!run.runs)
        {
            return;
        }
        ++outcome_.preemptions;
        auto seconds =
            static_cast<double>((checkpoint_time + restart_time).count()) /
            1000.0;
        outcome_.core_seconds_lost +=
            seconds * static_cast<double>(run.granted.milli_processors) /
            1000.0;
        schedule(
            now_ + checkpoint_time,
            simulation_event_kind::checkpointed,
            job,
            task,
            run.attempt);
    }

    void sample()
    {
        resources granted;
        resources used;
        std::int64_t fits = 0;
        for (std::size_t at = 0; at < loads_.size(); ++at)
        {
            const worker_load& load = loads_[at];
            const resources& held = work_.workers[at].capacity;
            granted += load.granted;
            used += load.used;
            fits += impl::tasks_that_fit(gang_probe, held - load.granted, 100);
            ++worker_samples_;
            if (!load.used.fits_in(held))
            {
                ++overused_samples_;
            }
            outcome_.over_used_worst = std::max(
                {outcome_.over_used_worst,
                 part(load.used.milli_processors, held.milli_processors),
                 part(load.used.memory_mib, held.memory_mib)});
        }
        ++samples_;
        gang_fits_ += static_cast<double>(fits);
        if (shares_.sample(scheduler_))
        {
            ++busy_samples_;
            granted_ += part(granted.milli_processors, total_.milli_processors);
            used_ += part(used.milli_processors, total_.milli_processors);
        }
    }

    static double part(std::int64_t of, std::int64_t whole)
    {
        return whole == 0
                   ? 0.0
                   : static_cast<double>(of) / static_cast<double>(whole);
    }

    void finish()
    {
        std::array<std::size_t, work_class_names.size()> never{};
        for (std::uint32_t job = 0; job < runs_.size(); ++job)
        {
            const planned_job& planned = work_.jobs[job];
            for (const task_run& run : runs_[job])
            {
                if (run.first_good_start.count() < 0 && !run.over)
                {
                    ++never[static_cast<std::size_t>(planned.policy)];
                    record_wait(planned, work_.horizon);
                }
            }
        }
        for (std::size_t at = 0; at < waits_.size(); ++at)
        {
            outcome_.waiting[at] = figures(waits_[at]);
            outcome_.waiting[at].never_started = never[at];
        }
        double busy =
            static_cast<double>(std::max<std::size_t>(busy_samples_, 1));
        outcome_.granted_part = granted_ / busy;
        outcome_.used_part = used_ / busy;
        outcome_.largest_gang =
            gang_fits_ /
            static_cast<double>(std::max<std::size_t>(samples_, 1));
        outcome_.over_used_part =
            static_cast<double>(overused_samples_) /
            static_cast<double>(std::max<std::size_t>(worker_samples_, 1));
        outcome_.decision_us_mean =
            decision_us_ /
            static_cast<double>(std::max<std::size_t>(outcome_.starts, 1));
        // The values are microseconds here, unlike the name's unit.
        outcome_.call_us_p99 = figures(calls_us_).p99_s;
        shares_.report(outcome_);
    }

    static waiting_figures figures(std::vector<double>& values)
    {
        waiting_figures summary;
        summary.tasks = values.size();
        if (values.empty())
        {
            return summary;
        }
        std::sort(values.begin(), values.end());
        summary.p50_s = values[values.size() / 2];
        summary.p99_s = values[values.size() * 99 / 100];
        summary.longest_s = values.back();
        return summary;
    }

    const workload& work_;
    scheduler& scheduler_;
    share_windows shares_;
    outcome outcome_;
    milliseconds now_{0};
    resources total_;
    std::vector<worker_load> loads_;
    std::vector<std::vector<task_run>> runs_;
    absl::flat_hash_map<worker_id, std::uint32_t> worker_at_;
    absl::flat_hash_map<job_id, std::uint32_t> job_at_;
    std::priority_queue<
        simulation_event,
        std::vector<simulation_event>,
        std::greater<simulation_event>>
        pending_;
    std::uint64_t next_order_ = 0;
    std::array<std::vector<double>, work_class_names.size()> waits_;
    std::vector<double> calls_us_;
    double decision_us_ = 0.0;
    std::size_t samples_ = 0;
    std::size_t busy_samples_ = 0;
    std::size_t worker_samples_ = 0;
    std::size_t overused_samples_ = 0;
    double granted_ = 0.0;
    double used_ = 0.0;
    double gang_fits_ = 0.0;
};

} // namespace

outcome replay(const workload& work, scheduler& tested)
{
    return replayer(work, tested).run();
}

} // namespace acaciastile::bench
