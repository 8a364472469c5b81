#pragma once

#include "domain/cell_record.hpp"
#include "domain/result.hpp"
#include "domain/shard_record.hpp"

#include <string>
#include <string_view>

namespace acaciastile
{

/// Encodes a record as one MessagePack array: id, number of the kind, then
/// the fields. Log bytes a second are scarce, so there are no field names.
/// The numbers of the kinds are part of the format of the log and never
/// change their meaning; new kinds get new numbers.
[[nodiscard]] std::string encode(const cell_record& record);
[[nodiscard]] std::string encode(const shard_record& record);

/// Decodes a record. Errors: `malformed` where the form is wrong or the kind
/// unknown; the errors of the aggregates for an inventory or rules that break
/// their own conditions.
[[nodiscard]] result<cell_record> decode_cell_record(std::string_view encoded);
[[nodiscard]] result<shard_record>
decode_shard_record(std::string_view encoded);

} // namespace acaciastile
