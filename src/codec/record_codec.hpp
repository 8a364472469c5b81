#pragma once

#include "domain/cell_record.hpp"
#include "domain/result.hpp"
#include "domain/shard_record.hpp"

#include <string>
#include <string_view>

namespace acaciastile
{

/// Encodes a record as one MessagePack array: id, the epoch for a shard record,
/// kind number, then the fields. Field names are left out because the log's
/// throughput in bytes is limited. Kind numbers are part of the log format:
/// they never change their meaning, and new kinds get new numbers.
[[nodiscard]] std::string encode(const cell_record& record);
[[nodiscard]] std::string encode(const shard_record& record);

/// Decodes a record. Errors: `malformed` if the structure is wrong or the kind
/// is unknown; those of `inventory::create` and `rules::create` if the content
/// violates their invariants.
[[nodiscard]] result<cell_record> decode_cell_record(std::string_view encoded);
[[nodiscard]] result<shard_record>
decode_shard_record(std::string_view encoded);

} // namespace acaciastile
