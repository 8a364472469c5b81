#pragma once

#include "cell/shard_map.hpp"
#include "domain/job_spec.hpp"

#include <optional>

namespace acaciastile
{

/// Returns whether the shard's workers, if idle, could run one task of the job
/// or, for a gang, all of its tasks at once.
[[nodiscard]] bool could_hold(const shard_info& shard, const job_spec& spec);

/// Selects a shard for the job by rendezvous hashing of the job's id among the
/// shards that could hold it, except `without`. Empty if there is none.
[[nodiscard]] std::optional<shard_id> best_shard_for(
    const shard_map& shards, const job_spec& spec, const shard_id& without);

} // namespace acaciastile
