#pragma once

#include "domain/result.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Maximum nesting depth accepted by `parse_json_text` and `parse_msgpack`.
inline constexpr int max_nesting_depth = 32;

/// Parses JSON with comments. Errors: `malformed` with line and column of the
/// syntax error; `invalid_value` if an object has a duplicate field, with its
/// name. The message contains no other part of the text.
[[nodiscard]] result<nlohmann::json> parse_json_text(std::string_view text);

/// Parses one MessagePack value. Errors: `malformed`.
[[nodiscard]] result<nlohmann::json> parse_msgpack(std::string_view encoded);

/// Encodes as MessagePack. Strings may contain arbitrary bytes.
[[nodiscard]] std::string to_msgpack_text(const nlohmann::json& value);

/// Writes JSON and replaces invalid UTF-8 by the replacement character. A
/// negative indent writes one line.
[[nodiscard]] std::string
to_json_text(const nlohmann::json& value, int indent = -1);

} // namespace acaciastile
