#pragma once

#include "domain/ids.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile
{

/// One part of an encoded snapshot, an entry of the stream of snapshots.
struct snapshot_chunk
{
    std::string id; ///< Unique for each written snapshot.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    [[nodiscard]] bool operator==(const snapshot_chunk&) const = default;
};

/// Tells that a snapshot is complete and where its chunks are.
struct snapshot_notice
{
    std::string id;
    log_offset covered = 0;     ///< Newest offset of the cell's stream in it.
    log_offset first_chunk = 0; ///< All chunks are at or after this offset.
    std::uint32_t count = 0;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0; ///< XXH3, 64 bits, of the whole encoding.

    [[nodiscard]] bool operator==(const snapshot_notice&) const = default;
};

/// XXH3 of 64 bits: finds damage, not forgery.
[[nodiscard]] std::uint64_t checksum_of(std::string_view bytes) noexcept;

/// Cuts an encoded snapshot into chunks of at most that many bytes.
[[nodiscard]] std::vector<snapshot_chunk> split_snapshot(
    const std::string& id, std::string_view encoded, std::size_t chunk_bytes);

[[nodiscard]] std::string encode(const snapshot_chunk& chunk);
[[nodiscard]] std::string encode(const snapshot_notice& notice);

/// Errors: `malformed`, also for a checksum that does not match.
[[nodiscard]] result<snapshot_chunk>
decode_snapshot_chunk(std::string_view encoded);
[[nodiscard]] result<snapshot_notice>
decode_snapshot_notice(std::string_view encoded);

/// Puts chunks together again; `parts` holds them by index. Errors:
/// `malformed` where the length or the checksum is not that of the notice.
[[nodiscard]] result<std::string> join_snapshot(
    const snapshot_notice& notice, const std::vector<std::string>& parts);

} // namespace acaciastile
