#pragma once

#include "domain/ids.hpp"
#include "domain/job_spec.hpp"
#include "domain/task_id.hpp"
#include "domain/task_state.hpp"

#include <string>
#include <variant>
#include <vector>

namespace acaciastile
{

/// First record of an owner's epoch in a shard's stream. Records of a lower
/// epoch that follow it are ignored.
struct epoch_opened
{
    [[nodiscard]] bool operator==(const epoch_opened&) const = default;
};

/// A job or a non-repeatable request was accepted.
struct job_accepted
{
    job_spec spec;
    [[nodiscard]] bool operator==(const job_accepted&) const = default;
};

/// The caller cancelled a job.
struct job_cancelled
{
    job_id job;
    [[nodiscard]] bool operator==(const job_cancelled&) const = default;
};

/// Intent to start an attempt on a worker, written to the log before the
/// attempt is started.
struct attempt_assigned
{
    attempt_id attempt;
    worker_id worker;
    [[nodiscard]] bool operator==(const attempt_assigned&) const = default;
};

/// An attempt is known to have ended. `state` is the resulting state of the
/// task: `queued` if it will be retried, otherwise a final state.
struct attempt_ended
{
    attempt_id attempt;
    task_state state = task_state::succeeded;
    std::string answer; ///< Response of a request; otherwise empty.
    std::string reason; ///< Reason of a failure; otherwise empty.
    [[nodiscard]] bool operator==(const attempt_ended&) const = default;
};

/// The shard that accepted the job hands it to another shard, which runs it.
/// After that the accepting shard keeps only a reference to the new shard.
struct job_moved
{
    job_id job;
    shard_id to;
    [[nodiscard]] bool operator==(const job_moved&) const = default;
};

/// Progress of one task.
struct task_progress
{
    task_state state = task_state::queued;
    std::uint32_t attempts = 0; ///< Number of the latest assigned attempt.
    worker_id worker;           ///< Of an attempt that may still run.
    [[nodiscard]] bool operator==(const task_progress&) const = default;
};

/// Rewrites a job's full state as one new record, so that the state survives
/// when the log's retention drops the earlier records. Applied only if the job
/// is unknown or `base` is the offset of the last record that changed it.
struct job_restated
{
    log_offset base = 0;
    job_spec spec;
    bool cancelled = false;
    shard_id moved_to; ///< Empty if it runs in this shard.
    std::vector<task_progress> tasks;
    std::string answer;
    std::string reason;
    [[nodiscard]] bool operator==(const job_restated&) const = default;
};

using shard_change = std::variant<
    epoch_opened,
    job_accepted,
    job_cancelled,
    attempt_assigned,
    attempt_ended,
    job_moved,
    job_restated>;

/// One record of a shard's log stream.
struct shard_record
{
    std::string id;
    shard_epoch epoch = 0;
    shard_change change;
    [[nodiscard]] bool operator==(const shard_record&) const = default;
};

} // namespace acaciastile
