#pragma once

#include "domain/ids.hpp"
#include "platform/log_service.hpp"

#include <string>

namespace acaciastile
{

/// The cell's own stream: configuration, keys, claims and allowances.
[[nodiscard]] inline stream_name cell_stream()
{
    return stream_name("cell");
}

/// The stream of snapshot chunks of the cell's state.
[[nodiscard]] inline stream_name snapshot_stream()
{
    return stream_name("cell.snapshots");
}

/// The index of snapshots, with one short entry for each complete snapshot.
/// Followers poll this stream instead of the chunks.
[[nodiscard]] inline stream_name snapshot_index_stream()
{
    return stream_name("cell.snapshots.index");
}

/// The stream of a shard's jobs and attempts.
[[nodiscard]] inline stream_name shard_stream(const shard_id& shard)
{
    return stream_name("shard." + shard.str());
}

} // namespace acaciastile
