#pragma once

#include "support/capacity_series.hpp"

#include <vector>

namespace acaciastile::bench
{

/// Membership against the number of instances.
[[nodiscard]] std::vector<capacity_series> measure_member_role();

/// Fold, state and snapshot of the cell against workers, teams, keys and
/// allowances; bytes of its records.
[[nodiscard]] std::vector<capacity_series> measure_log_reader();

/// Shard map and assignment of owners.
[[nodiscard]] std::vector<capacity_series> measure_shard_map();

/// Allowance planner against teams, and records of one shift of demand
/// against shards.
[[nodiscard]] std::vector<capacity_series> measure_allowances();

/// Beats over the HTTP adapter on loopback, with the stand-in platform in
/// the same process.
[[nodiscard]] std::vector<capacity_series> measure_transport();

/// Bytes and processor time of messages to workers and of records of jobs.
[[nodiscard]] std::vector<capacity_series> measure_messages();

/// State and processor time of a shard's fold and scheduler.
[[nodiscard]] std::vector<capacity_series> measure_shard_state();

/// One whole instance on the embedded platform, against its workers.
[[nodiscard]] std::vector<capacity_series> measure_instance();

} // namespace acaciastile::bench
