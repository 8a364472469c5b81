#pragma once

#include "domain/result.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Deepest nesting that either parser accepts.
inline constexpr int max_nesting_depth = 32;

/// Parses JSON with comments. Errors: `malformed` with line and column of the
/// syntax error; `invalid_value` naming a field that an object holds twice.
/// The message never repeats the text.
[[nodiscard]] result<nlohmann::json> parse_json_text(std::string_view text);

/// Parses one MessagePack value. Errors: `malformed`.
[[nodiscard]] result<nlohmann::json> parse_msgpack(std::string_view encoded);

/// Writes MessagePack. Strings may hold any bytes.
[[nodiscard]] std::string to_msgpack_text(const nlohmann::json& value);

/// Writes JSON; bytes that are no UTF-8 become the replacement character. A
/// negative indent gives one line.
[[nodiscard]] std::string
to_json_text(const nlohmann::json& value, int indent = -1);

} // namespace acaciastile
