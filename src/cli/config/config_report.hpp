#pragma once

#include "cli/config/config_check.hpp"
#include "cli/config/config_difference.hpp"
#include "cli/exit_status.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile
{

/// What `check-config` tells of one document.
struct config_report
{
    std::string file;
    config_check check;
    std::string against;        ///< A file or `LIVE`; empty: none.
    std::uint64_t revision = 0; ///< Of the document in force; zero: none.
    bool compared = false;      ///< `differences` holds the whole answer.
    std::vector<config_difference> differences;
};

/// Compares the document with another one: lists the differences from one of
/// its own kind, and checks rules and an inventory together.
void compare(config_report& report, const config_check& other);

[[nodiscard]] nlohmann::json to_json(const config_report& report);

/// One line for each finding and difference, and a summary.
[[nodiscard]] std::string to_text(const config_report& report);

/// `done` without findings, `check_warned` with warnings alone, else
/// `check_failed`. Differences do not count.
[[nodiscard]] exit_status status_of(const config_check& check);

} // namespace acaciastile
