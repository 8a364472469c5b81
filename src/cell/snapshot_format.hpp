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

/// One part of an encoded snapshot; an entry of the snapshot stream.
struct snapshot_chunk
{
    std::string id; ///< Unique to the snapshot.
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    std::string bytes;

    [[nodiscard]] bool operator==(const snapshot_chunk&) const = default;
};

/// Index entry of a complete snapshot, with the location of its chunks.
struct snapshot_notice
{
    std::string id;
    log_offset covered = 0;     ///< Last cell stream offset included.
    log_offset first_chunk = 0; ///< No chunk is before this offset.
    std::uint32_t count = 0;
    std::uint64_t bytes = 0;
    std::uint64_t checksum = 0; ///< 64-bit XXH3 of the whole encoding.

    [[nodiscard]] bool operator==(const snapshot_notice&) const = default;
};

/// 64-bit XXH3 checksum. Detects corruption, not deliberate tampering.
[[nodiscard]] std::uint64_t checksum_of(std::string_view bytes) noexcept;

/// Splits an encoded snapshot into chunks of at most `chunk_bytes` bytes.
[[nodiscard]] std::vector<snapshot_chunk> split_snapshot(
    const std::string& id, std::string_view encoded, std::size_t chunk_bytes);

[[nodiscard]] std::string encode(const snapshot_chunk& chunk);
[[nodiscard]] std::string encode(const snapshot_notice& notice);

/// Errors: `malformed`, also if the checksum of a chunk does not match.
[[nodiscard]] result<snapshot_chunk>
decode_snapshot_chunk(std::string_view encoded);
[[nodiscard]] result<snapshot_notice>
decode_snapshot_notice(std::string_view encoded);

/// Joins the chunk contents in `parts`, ordered by index. Errors: `malformed`
/// if the length or the checksum differs from the notice.
[[nodiscard]] result<std::string> join_snapshot(
    const snapshot_notice& notice, const std::vector<std::string>& parts);

} // namespace acaciastile
