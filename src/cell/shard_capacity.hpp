#pragma once

#include "cell/shard_map.hpp"
#include "domain/job_spec.hpp"

#include <optional>

namespace acaciastile
{

/// True where the shard's workers, all empty, could hold one task of the job,
/// or, for a gang, the whole of it.
[[nodiscard]] bool could_hold(const shard_info& shard, const job_spec& spec);

/// The shard among those that could hold the job to which rendezvous hashing
/// of its id leads, leaving one out. Empty where none could.
[[nodiscard]] std::optional<shard_id> best_shard_for(
    const shard_map& shards, const job_spec& spec, const shard_id& without);

} // namespace acaciastile
