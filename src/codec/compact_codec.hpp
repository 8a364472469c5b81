#pragma once

#include "domain/inventory.hpp"
#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/result.hpp"
#include "domain/rules.hpp"

#include <nlohmann/json.hpp>

namespace acaciastile
{

/// Encodes a value in the compact form of records and snapshots: arrays without
/// field names, with enumerators as numbers. An inventory is grouped by data
/// centre and rack, so that their names are not repeated for each worker.
[[nodiscard]] nlohmann::json to_compact(const resources& value);
[[nodiscard]] nlohmann::json to_compact(const worker_entry& value);
[[nodiscard]] nlohmann::json to_compact(const inventory& value);
[[nodiscard]] nlohmann::json to_compact(const team_rule& value);
[[nodiscard]] nlohmann::json to_compact(const queue_rule& value);
[[nodiscard]] nlohmann::json to_compact(const rules& value);
[[nodiscard]] nlohmann::json to_compact(const key_entry& value);
[[nodiscard]] nlohmann::json to_compact(const job_spec& value);

/// Decodes a value from its compact form. Errors: `malformed` if the structure
/// is wrong; the errors of `inventory::create` and `rules::create`.
[[nodiscard]] result<resources>
resources_from_compact(const nlohmann::json& value);
[[nodiscard]] result<worker_entry>
worker_entry_from_compact(const nlohmann::json& value);
[[nodiscard]] result<inventory>
inventory_from_compact(const nlohmann::json& value);
[[nodiscard]] result<team_rule>
team_rule_from_compact(const nlohmann::json& value);
[[nodiscard]] result<queue_rule>
queue_rule_from_compact(const nlohmann::json& value);
[[nodiscard]] result<rules> rules_from_compact(const nlohmann::json& value);
[[nodiscard]] result<key_entry>
key_entry_from_compact(const nlohmann::json& value);
[[nodiscard]] result<job_spec>
job_spec_from_compact(const nlohmann::json& value);

} // namespace acaciastile
