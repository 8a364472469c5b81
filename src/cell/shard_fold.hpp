#pragma once

#include "cell/fold_outcome.hpp"
#include "domain/instant.hpp"
#include "domain/shard_record.hpp"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace acaciastile
{

/// The state of one job, as folded from its shard's stream.
struct job_progress
{
    job_spec spec;
    bool cancelled = false;
    shard_id moved_to; ///< Empty unless the job moved to another shard.
    std::vector<task_progress> tasks;
    std::size_t open_tasks = 0; ///< Tasks whose state is not final.
    std::string answer;
    std::string reason;
    log_offset accepted_at = 0; ///< Orders jobs by acceptance.
    log_offset changed_at = 0;  ///< Offset of the last change.

    [[nodiscard]] bool is_final() const noexcept { return open_tasks == 0; }
};

/// Folds one shard's stream into the state of the shard's jobs. Rejects records
/// with an epoch lower than the highest one seen, so that a former owner can no
/// longer change the state.
class shard_fold
{
public:
    /// Maximum number of ended jobs kept to answer status queries and to detect
    /// repeated submissions.
    static constexpr std::size_t ended_jobs_kept = 20'000;

    /// Applies the record at `offset`. A record at or before
    /// `applied_through()` is a duplicate and has no effect.
    fold_outcome apply(log_offset offset, const shard_record& record);

    [[nodiscard]] shard_epoch epoch() const noexcept { return epoch_; }
    [[nodiscard]] log_offset applied_through() const noexcept
    {
        return applied_through_;
    }

    /// Returns null if the job is unknown.
    [[nodiscard]] const job_progress* find(const job_id& id) const noexcept;

    [[nodiscard]] const std::map<job_id, job_progress>& jobs() const noexcept
    {
        return jobs_;
    }

    /// Makes a record with the job's full state. Written before the log's
    /// retention removes the job's older records, it replaces them.
    [[nodiscard]] static job_restated restate(const job_progress& job);

private:
    using refusal = std::optional<error>;

    refusal fold(const shard_record& record, bool& duplicate);
    refusal fold_accepted(const job_accepted&, bool& duplicate);
    refusal fold_cancelled(const job_cancelled&);
    refusal fold_assigned(const attempt_assigned&);
    refusal fold_ended(const attempt_ended&);
    refusal fold_moved(const job_moved&);
    refusal fold_restated(const job_restated&);
    void set_state(job_progress& job, task_progress& task, task_state state);
    void forget_oldest_ended();

    shard_epoch epoch_ = 0;
    log_offset applied_through_ = 0;
    std::map<job_id, job_progress> jobs_;
    std::deque<job_id> ended_;
};

} // namespace acaciastile
