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

/// First record of an owner's epoch in a shard's stream. Later records of a
/// lower epoch fold to nothing.
struct epoch_opened
{
    [[nodiscard]] bool operator==(const epoch_opened&) const = default;
};

/// A job or a not repeatable request was accepted.
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

/// Intent to start an attempt on a worker; in the log before the start.
struct attempt_assigned
{
    attempt_id attempt;
    worker_id worker;
    [[nodiscard]] bool operator==(const attempt_assigned&) const = default;
};

/// An attempt is proven ended. The state is `queued` where the task waits
/// for its next attempt, else a final one.
struct attempt_ended
{
    attempt_id attempt;
    task_state state = task_state::succeeded;
    std::string answer; ///< Of a request; empty otherwise.
    std::string reason; ///< Of a failure; empty otherwise.
    [[nodiscard]] bool operator==(const attempt_ended&) const = default;
};

/// The job's home gives it to another shard, which runs it. From then on the
/// home only knows where it went.
struct job_moved
{
    job_id job;
    shard_id to;
    [[nodiscard]] bool operator==(const job_moved&) const = default;
};

/// How far one task has come.
struct task_progress
{
    task_state state = task_state::queued;
    std::uint32_t attempts = 0; ///< Number of the last assigned attempt.
    worker_id worker;           ///< Of an attempt not proven ended.
    [[nodiscard]] bool operator==(const task_progress&) const = default;
};

/// A job's whole state written anew, so that it outlives the retention of
/// the records it was folded from. Accepted where the job is unknown, or where
/// `base` is the offset of the last record that changed it.
struct job_restated
{
    log_offset base = 0;
    job_spec spec;
    bool cancelled = false;
    shard_id moved_to; ///< Empty where it runs in this shard.
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

/// One record of a shard's stream.
struct shard_record
{
    std::string id;
    shard_epoch epoch = 0;
    shard_change change;
    [[nodiscard]] bool operator==(const shard_record&) const = default;
};

} // namespace acaciastile
