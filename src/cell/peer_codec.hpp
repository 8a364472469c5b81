#pragma once

#include "cell/allowance_planner.hpp"
#include "cell/control.hpp"
#include "domain/result.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace acaciastile
{

/// JSON forms of the messages between instances and of the answers to callers.
[[nodiscard]] nlohmann::json to_json(const explanation& value);
[[nodiscard]] nlohmann::json to_json(const job_status& value);
[[nodiscard]] nlohmann::json to_json(const request_answer& value);
[[nodiscard]] nlohmann::json to_json(const configuration_in_force& value);
[[nodiscard]] nlohmann::json to_json(const worker_status& value);
[[nodiscard]] nlohmann::json to_json(const team_status& value);

/// Errors: `invalid_value` with the path of the field.
[[nodiscard]] result<job_status>
job_status_from_json(const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<request_answer> request_answer_from_json(
    const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<configuration_in_force> configuration_from_json(
    const nlohmann::json& value, const std::string& path = "");
[[nodiscard]] result<worker_status> worker_status_from_json(
    const nlohmann::json& value, const std::string& path = "");

/// One team's load on one shard, as reported by the shard's owner.
struct shard_team_load
{
    shard_id shard;
    team_name team;
    team_load load;
};

[[nodiscard]] nlohmann::json to_json(const shard_team_load& value);
[[nodiscard]] result<shard_team_load> shard_team_load_from_json(
    const nlohmann::json& value, const std::string& path = "");

} // namespace acaciastile
