#pragma once

#include "domain/inventory.hpp"
#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/result.hpp"
#include "domain/rules.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Upper bound of each amount in a document: thousandths of a processor,
/// mebibytes or devices. The sum of a million such amounts does not overflow.
inline constexpr std::int64_t max_resource_amount = 1'000'000'000'000;
inline constexpr std::uint32_t max_tasks_per_job = 1'000'000;
/// Applies to ids too.
inline constexpr std::size_t max_name_bytes = 256;

/// Encodes a value as a JSON document, the form used by the HTTP interface,
/// files and calls between instances. Fields are named as the members of the
/// type; durations have the suffix `_ms`; enumerators are written by name.
[[nodiscard]] nlohmann::json to_json(const resources& value);
[[nodiscard]] nlohmann::json to_json(const worker_entry& value);
[[nodiscard]] nlohmann::json to_json(const inventory& value);
[[nodiscard]] nlohmann::json to_json(const team_rule& value);
[[nodiscard]] nlohmann::json to_json(const queue_rule& value);
[[nodiscard]] nlohmann::json to_json(const rules& value);
[[nodiscard]] nlohmann::json to_json(const key_entry& value);
[[nodiscard]] nlohmann::json to_json(const job_spec& value);
[[nodiscard]] nlohmann::json to_json(const error& value);

/// Decodes a value from a JSON document. `path` is the position of the value in
/// an enclosing document; error messages start with the path of the field.
/// Errors: `invalid_value`, also for unknown fields; `unknown_team` for rules.
[[nodiscard]] result<resources>
resources_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<worker_entry> worker_entry_from_json(
    const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<inventory>
inventory_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<team_rule>
team_rule_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<queue_rule>
queue_rule_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<rules>
rules_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<key_entry>
key_entry_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<job_spec>
job_spec_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<error>
error_from_json(const nlohmann::json& value, const std::string& path = "");

/// Parses JSON with comments and decodes the value. Errors: `malformed` with
/// line and column in `position`; the errors of decoding as above.
[[nodiscard]] result<inventory> parse_inventory(std::string_view text);
[[nodiscard]] result<rules> parse_rules(std::string_view text);
[[nodiscard]] result<job_spec> parse_job_spec(std::string_view text);
[[nodiscard]] result<key_entry> parse_key_entry(std::string_view text);
[[nodiscard]] result<error> parse_error(std::string_view text);

/// Writes the JSON document on one line.
[[nodiscard]] std::string to_json_text(const inventory& value);
[[nodiscard]] std::string to_json_text(const rules& value);
[[nodiscard]] std::string to_json_text(const job_spec& value);
[[nodiscard]] std::string to_json_text(const key_entry& value);
[[nodiscard]] std::string to_json_text(const error& value);

} // namespace acaciastile
