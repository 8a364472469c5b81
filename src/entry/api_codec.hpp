#pragma once

#include "cell/control.hpp"

#include <nlohmann/json.hpp>
#include <vector>

namespace acaciastile
{

/// The readable forms of what the control code answers with. Field names are
/// those of the types; durations carry the ending `_ms`.
[[nodiscard]] nlohmann::json to_api_json(const explanation& value);
[[nodiscard]] nlohmann::json to_api_json(const job_status& value);
[[nodiscard]] nlohmann::json to_api_json(const request_answer& value);
[[nodiscard]] nlohmann::json to_api_json(const published& value);
/// Holds the secret: only for the answer to who asked for the grant.
[[nodiscard]] nlohmann::json to_api_json(const granted_key& value);
[[nodiscard]] nlohmann::json to_api_json(const configuration_in_force& value);
[[nodiscard]] nlohmann::json to_api_json(const team_status& value);
[[nodiscard]] nlohmann::json to_api_json(const worker_status& value);

/// One line of JSON; bytes that are no UTF-8 are replaced.
[[nodiscard]] std::string write_json(const nlohmann::json& value);

} // namespace acaciastile
