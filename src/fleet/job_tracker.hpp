#pragma once

#include "fleet/configuration.hpp"
#include "fleet/name_table.hpp"
#include "fleet/ports.hpp"
#include "fleet/records.hpp"
#include "fleet/rejected_orders.hpp"
#include "fleet/step_permits.hpp"
#include "fleet/worker_set.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// A run of a task and its worker.
struct task_run
{
    run_number run = 0;
    worker_id worker;
};

/// State of one task of a step.
struct task_entry
{
    enum class phase : std::uint8_t
    {
        waiting,
        active, ///< It has live runs.
        done
    };
    phase state = phase::waiting;
    std::vector<run_number> failed_runs; ///< Empty for members of a gang.
    /// Runs that were started or reported and whose end is not known yet. More
    /// than one only if workers and stored absences disagree after a change of
    /// owner; all but the latest are then being stopped.
    std::vector<task_run> live_runs;
    run_number run = 0;       ///< The latest live run, else the latest run.
    worker_id worker;         ///< Worker of `run`.
    bool failed_last = false; ///< The run that ended last has failed.
    std::string checkpoint;   ///< Empty: starts from the beginning.
    crash_record crashes;     ///< Of the workers of its runs.
    /// Since when its next run waits for an order that may still be carried
    /// out; empty if it does not.
    std::optional<instant> held_since;
};

/// Until when a job is expected to be useful if its remaining work starts now.
struct urgency_limits
{
    instant in_time_until{};   ///< Later, it is expected to miss its objective.
    instant useful_until{};    ///< Later, it is expected to end in vain.
    milliseconds remaining{0}; ///< What is expected of its remaining work.
};

/// A step in one occurrence of a job.
struct step_entry
{
    step_id id;
    std::vector<task_entry> tasks;
    std::uint32_t waiting = 0; ///< Number of waiting tasks.
    std::uint32_t active = 0;  ///< Number of active tasks.
    std::uint32_t done = 0;    ///< Number of done tasks.
    std::vector<run_number> failed_gang_runs;
    instant opened{}; ///< When its occurrence was created.
    step_permits permits;
    rejected_orders rejections;
    urgency_limits limits; ///< Computed when `limits_valid_until` has passed.
    instant limits_valid_until{};
    /// Whether the listed workers could run the step if they were idle, and in
    /// which of the planner's epochs of workers and configuration.
    bool is_possible = true;
    std::uint64_t possible_checked_at = 0;
};

/// What shows that a task of a job has started.
enum class start_evidence : std::uint8_t
{
    none,    ///< Nothing does: the job waits.
    answer,  ///< A worker accepted a start order.
    status,  ///< A worker listed a run.
    end,     ///< A worker listed the end of a run.
    absence, ///< A stored absence lists a run.
    stored   ///< An earlier owner has stored that it is running.
};

/// Name of the evidence in log lines.
[[nodiscard]] std::string_view name_of(start_evidence evidence) noexcept;

/// Number of kinds of `start_evidence`.
inline constexpr std::size_t start_evidence_kinds = 6;

/// The open jobs of a queue, by what shows that they have started.
using start_counts = std::array<std::size_t, start_evidence_kinds>;

/// State of one job.
struct job_entry
{
    accepted_job job;
    /// Queued until a run of one of its tasks is known to have started; never
    /// queued again after that.
    job_state state = job_state::queued;
    /// The state that callers are shown. Final states appear here only once
    /// they are stored.
    job_state reported_state = job_state::queued;
    start_evidence started_by = start_evidence::none;
    /// By occurrence, then by step.
    std::vector<std::vector<step_entry>> occurrences;
    /// When this owner added the job; for inherited jobs, the estimated time
    /// of acceptance.
    instant known_since{};
    /// Accepted under a previous owner, which may have started its tasks on
    /// workers that have not reported to this owner yet.
    bool inherited = false;
    /// A worker has reported runs of the job that are not recorded here yet.
    bool has_unreconciled_runs = false;
    bool excess = false;  ///< Accepted while its account was over its rate.
    bool changed = false; ///< Has progress that is not stored yet.
    /// A permit of it that led to no start was logged.
    bool permit_wait_logged = false;
    /// It was logged that no worker can run one of its steps.
    bool impossible_logged = false;
    wall_time ended{}; ///< Set once the state is final.
    /// Since when the ended job counts as known to have ended; set once its end
    /// is stored.
    std::optional<instant> end_known_since;
    run_number next_run = 1;
    std::uint32_t queue_index = 0;   ///< In `job_tracker::queue_names`.
    std::uint32_t account_index = 0; ///< In `job_tracker::account_names`.
    std::size_t open_position = 0;   ///< In `job_tracker::open`.
    /// A bit for each of `topics::job_topics` in which its request was read.
    std::uint8_t stored_in = 0;

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

/// Effect of the end of a run on its task.
enum class end_effect
{
    unknown_task, ///< The job or task is not known.
    out_of_date,  ///< The run was replaced, or the task or job has ended.
    task_done,
    task_requeued, ///< The task was not completed and may run again.
    job_failed ///< The last attempt that the queue allows has failed, or the
               ///< task crashes its workers.
};

/// What became of a run that a worker or an absence record has reported.
enum class adoption
{
    adopted, ///< It is the task's latest run.
    unknown_task,
    job_ended,
    task_done,
    superseded ///< A later run of the task is live.
};

/// Tracks the tasks of all accepted jobs: which are waiting, running or done.
/// Computed from the records of the store and the ended runs that workers
/// report; does no I/O. Jobs are dropped some time after their end.
class job_tracker
{
public:
    using job_map = absl::flat_hash_map<job_id, std::unique_ptr<job_entry>>;

    /// Each owner's run numbers start above those of all previous owners, as
    /// `owner_token` increases with every change of owner.
    explicit job_tracker(std::uint64_t owner_token) : token_(owner_token) {}

    /// Adds an accepted job, with its progress if that was restored before.
    /// Returns null and does nothing if it is already known.
    job_entry* add(accepted_job job, bool inherited, instant now);

    /// Restores the stored progress of a job. An ended job is added if it is
    /// unknown, as its request may have been deleted. The progress of another
    /// unknown job is kept until the job is added, which then counts as
    /// inherited. `end_known_since`: of the job, if it has ended.
    void restore(
        const job_id& id,
        const job_progress& progress,
        instant end_known_since);

    [[nodiscard]] job_entry* find(const job_id& id);
    [[nodiscard]] step_entry* find(const step_id& id);
    [[nodiscard]] task_entry* find(const task_ref& task);
    [[nodiscard]] const job_map& all() const noexcept { return jobs_; }

    /// Jobs that have not ended.
    [[nodiscard]] const std::vector<job_entry*>& open() const noexcept
    {
        return open_;
    }

    /// The queues and accounts of all jobs so far, by the indexes of their
    /// jobs.
    [[nodiscard]] const std::vector<queue_name>& queue_names() const noexcept
    {
        return queues_.names();
    }
    [[nodiscard]] const std::vector<account_name>&
    account_names() const noexcept
    {
        return accounts_.names();
    }

    /// Creates the due occurrences of recurring jobs. Returns when the next one
    /// is due, or `wall_time::max()`.
    wall_time open_due_occurrences(wall_time wall, instant now);

    /// True if all steps on which this one depends are done.
    [[nodiscard]] bool
    is_ready(const job_entry& job, const step_entry& step) const;

    /// Allocates a run number.
    [[nodiscard]] run_number next_run(job_entry& job);

    /// Records that a run of the task is being started. The job's state stays:
    /// the order may have no effect.
    void begin_run(
        step_entry& step,
        std::uint32_t index,
        run_number run,
        const worker_id& worker);

    /// Records that a run of the job has started on a worker: the job is
    /// running from now on. Does nothing without evidence, or if the job is not
    /// queued or not known.
    void confirm_start(const job_id& id, start_evidence evidence);

    /// Records a run that a worker or an absence record has reported. Its job
    /// counts as started if there is `evidence` for that, unless the task is
    /// done or unknown. The caller stops
    /// a run that is not adopted, and the live runs that an adopted one
    /// supersedes. A superseded run keeps its task from starting until it has
    /// ended.
    adoption adopt_run(
        const task_ref& task,
        run_number run,
        const worker_id& worker,
        const std::string& checkpoint,
        start_evidence evidence = start_evidence::status);

    /// True if the run is stored as failed.
    [[nodiscard]] bool has_failed(const task_ref& task, run_number run);

    /// Records that a run was not started after all.
    void undo_run(const task_ref& task, run_number run);

    /// Records the end of a run. The job fails when the number of failed runs
    /// of a task, or of a gang as a whole, reaches `attempts`.
    end_effect record_end(
        const task_ref& task,
        run_number run,
        run_end how,
        const std::string& checkpoint,
        std::uint32_t attempts,
        wall_time wall);

    /// Records that a worker has crashed under a run. The job fails when its
    /// task is convicted, also if the task is to be restarted however it ends.
    end_effect record_crash(
        const task_ref& task,
        run_number run,
        crash_blame blame,
        wall_time wall);

    /// Cancels a job unless it has ended. Returns false if it is unknown.
    bool cancel(const job_id& id, wall_time wall);

    /// The job's progress as it is stored.
    [[nodiscard]] job_progress progress_of(const job_entry& job) const;

    /// Returns the jobs whose progress changed since the last call, and clears
    /// the list.
    [[nodiscard]] std::vector<job_entry*> take_changed();
    [[nodiscard]] bool has_changes() const noexcept
    {
        return !changed_.empty();
    }
    void mark_changed(job_entry& job);

    /// Number of a queue's jobs of which no task is known to have started.
    [[nodiscard]] std::size_t pending(const queue_name& queue) const;

    /// The open jobs of a queue by the evidence of their start.
    [[nodiscard]] start_counts starts_in(const queue_name& queue) const;

    /// Records that the end of a job is stored: callers are shown it from now
    /// on.
    void note_end_stored(job_entry& job, job_state state, instant now);

    /// Drops jobs whose end is known since before `before`, and of whose
    /// requests no copy is known in the store. Returns their ids.
    [[nodiscard]] std::vector<job_id> forget_ended(instant before);

private:
    /// The numbers of open jobs of the job's queue.
    [[nodiscard]] start_counts& counts_of(const job_entry& job);
    /// True if the job is one of `open`.
    [[nodiscard]] bool is_open(const job_entry& job) const;
    /// Changes what shows that a job has started.
    void set_evidence(job_entry& job, start_evidence evidence);
    job_entry& add_ended(const job_id& id, const job_progress& progress);
    void apply_progress(job_entry& job, const job_progress& progress);
    void open_occurrence(job_entry& job, instant now);
    /// Opens the first `count` occurrences, as far as the job has them.
    void open_occurrences(job_entry& job, std::size_t count);
    /// Opens the occurrence of a run that a worker or a record tells of. It was
    /// due by the clock of the owner that started the run, if not by this one.
    void open_reported_occurrence(const step_id& step);
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
    void add_live_run(step_entry& step, task_entry& task, task_run run);
    /// Removes a live run; the task waits again once none is left. Returns
    /// false if there is no such run.
    bool remove_live_run(step_entry& step, task_entry& task, run_number run);

    std::uint64_t token_;
    job_map jobs_;
    /// Progress of jobs that were not added yet.
    absl::flat_hash_map<job_id, job_progress> early_progress_;
    name_table<queue_name> queues_;
    name_table<account_name> accounts_;
    std::vector<job_entry*> open_;
    std::vector<start_counts> open_counts_; ///< By queue.
    /// Open jobs that have occurrences in the future.
    std::vector<job_entry*> recurring_;
    std::vector<job_entry*> changed_;
};

} // namespace acaciastile::fleet
