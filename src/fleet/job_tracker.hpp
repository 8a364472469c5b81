#pragma once

#include "fleet/configuration.hpp"
#include "fleet/ports.hpp"
#include "fleet/records.hpp"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace acaciastile::fleet
{

/// One task of a step.
struct task_entry
{
    enum class phase : std::uint8_t
    {
        waiting,
        active, ///< A run of it has been ordered and its end is not known.
        done
    };
    phase state = phase::waiting;
    std::vector<run_number> failed_runs;
    run_number run = 0; ///< The latest run.
    worker_id worker;   ///< Where the latest run is or was.
    bool failed_last = false;
    std::string checkpoint;
};

/// What the queue's policy has said about one step.
struct step_permits
{
    /// Until when a permit can be used; past for workers that are allowed and
    /// whose permit ran out.
    struct grant
    {
        std::string ticket;
        instant until{};
        std::uint64_t incarnation = 0;
    };
    std::map<worker_id, grant> allowed;
    std::set<worker_id> denied;
    bool asking = false;
    instant retry_not_before{}; ///< After a failed ask.
};

/// A step in one occurrence of a job.
struct step_entry
{
    step_id id;
    std::vector<task_entry> tasks;
    std::uint32_t waiting = 0;
    std::uint32_t active = 0;
    std::uint32_t done = 0;
    std::vector<run_number> failed_gang_runs;
    instant opened{}; ///< When its occurrence was due.
    step_permits permits;
};

struct job_entry
{
    accepted_job job;
    job_state state = job_state::queued;
    /// What callers are told: the last state that is stored.
    job_state reported_state = job_state::queued;
    std::vector<std::vector<step_entry>> occurrences;
    instant known_since{};
    /// Accepted before this owner took over: a predecessor may have started
    /// tasks of it on workers that were not heard yet.
    bool inherited = false;
    /// A worker lists runs of it that are not taken in yet.
    bool has_unreconciled_runs = false;
    bool excess = false;  ///< Its account was over its rate.
    bool changed = false; ///< Has progress that is not stored.
    wall_time ended{};
    run_number next_run = 1;

    [[nodiscard]] bool is_final() const noexcept
    {
        return fleet::is_final(state);
    }
    [[nodiscard]] const step_spec& spec(const step_id& id) const
    {
        return job.request.steps[id.step];
    }
    [[nodiscard]] std::uint32_t occurrence_count() const noexcept
    {
        return std::max<std::uint32_t>(1, job.request.occurrences);
    }
};

/// What an end meant for its task.
enum class end_effect
{
    unknown_task, ///< No such job or task.
    out_of_date,  ///< Of a run that was replaced, or of a job that ended.
    task_done,
    task_requeued, ///< The task waits for another run.
    job_failed     ///< The last attempt that the queue allows has failed.
};

/// All jobs that were accepted and are not yet forgotten: what is done, what
/// waits and what runs. A fold over the store's records and the workers' ends;
/// no I/O.
class job_tracker
{
public:
    using job_map = absl::flat_hash_map<job_id, std::unique_ptr<job_entry>>;

    /// Run numbers of an owner start above those of all owners before it.
    explicit job_tracker(std::uint64_t owner_token) : token_(owner_token) {}

    /// Adds an accepted job; does nothing where it is known. Null where it
    /// was known.
    job_entry* add(accepted_job job, bool inherited, instant now);

    /// Takes over what is stored of a job's progress. The request of an ended
    /// job need not be known any more.
    void restore(const job_id& id, const job_progress& progress);

    [[nodiscard]] job_entry* find(const job_id& id);
    [[nodiscard]] step_entry* find(const step_id& id);
    [[nodiscard]] task_entry* find(const task_ref& task);
    [[nodiscard]] const job_map& all() const noexcept { return jobs_; }

    /// Jobs that are not final.
    [[nodiscard]] const std::vector<job_entry*>& open() const noexcept
    {
        return open_;
    }

    /// Creates the occurrences of timed jobs that are due; gives the time of
    /// the next one.
    wall_time open_due_occurrences(wall_time wall, instant now);

    /// True where all steps before this one are done.
    [[nodiscard]] bool
    is_ready(const job_entry& job, const step_entry& step) const;

    [[nodiscard]] run_number next_run(job_entry& job);

    /// Notes that a run of the task was ordered.
    void begin_run(
        step_entry& step,
        std::uint32_t index,
        run_number run,
        const worker_id& worker);

    /// Notes a run found on a worker; false where it must be stopped: the
    /// task is unknown, done, active elsewhere, or its job has ended.
    bool adopt_run(
        const task_ref& task,
        run_number run,
        const worker_id& worker,
        const std::string& checkpoint);

    /// Notes that an ordered run never came to be.
    void undo_run(const task_ref& task, run_number run);

    /// Takes in an end. `attempts`: failed runs of a task that its queue
    /// allows.
    end_effect record_end(
        const task_ref& task,
        run_number run,
        run_end how,
        const std::string& checkpoint,
        std::uint32_t attempts,
        wall_time wall);

    /// Cancels a job; false where it is unknown. A final job stays as it is.
    bool cancel(const job_id& id, wall_time wall);

    [[nodiscard]] job_progress progress_of(const job_entry& job) const;

    /// Jobs whose progress changed since the last call.
    [[nodiscard]] std::vector<job_entry*> take_changed();
    [[nodiscard]] bool has_changes() const noexcept
    {
        return !changed_.empty();
    }
    void mark_changed(job_entry& job);

    /// Jobs of a queue of which no task has started.
    [[nodiscard]] std::size_t pending(const queue_name& queue) const;

    /// Forgets jobs that ended before `before`; gives their ids.
    [[nodiscard]] std::vector<job_id> forget_ended(wall_time before);

private:
    void add_ended(const job_id& id, const job_progress& progress);
    void open_occurrence(job_entry& job, instant now);
    void finish(job_entry& job, job_state state, wall_time wall);
    void close(job_entry& job);
    end_effect fail_task(
        job_entry& job,
        step_entry& step,
        task_entry& task,
        run_number run,
        std::uint32_t attempts,
        wall_time wall);
    void finish_task(
        job_entry& job, step_entry& step, task_entry& task, wall_time wall);
    void finish_gang(job_entry& job, step_entry& step, wall_time wall);
    void set_waiting(step_entry& step, task_entry& task);

    std::uint64_t token_;
    job_map jobs_;
    std::vector<job_entry*> open_;
    std::vector<job_entry*> changed_;
};

} // namespace acaciastile::fleet
