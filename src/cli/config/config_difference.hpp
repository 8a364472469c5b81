#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciastile
{

/// One difference between two inventories or two sets of rules.
struct config_difference
{
    std::string change;    ///< `added`, `removed` or `changed`.
    std::string list;      ///< `workers`, `teams` or `queues`.
    std::string name;      ///< Of the entry.
    std::string field;     ///< Such as `capacity.memory_mib`; empty: the entry.
    nlohmann::json before; ///< Null for an added entry.
    nlohmann::json after;  ///< Null for a removed entry.
};

/// The differences between two documents of one kind, in the form of
/// `to_json`, sorted by list and name. The order of entries does not count.
[[nodiscard]] std::vector<config_difference>
compare_configs(const nlohmann::json& before, const nlohmann::json& after);

} // namespace acaciastile
