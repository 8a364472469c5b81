#pragma once

#include "cli/dev/journal_check.hpp"
#include "cli/dev/mix_result.hpp"
#include "domain/rules.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciastile
{

/// What `dev` tells at its end.
struct dev_summary
{
    nlohmann::json content;
    bool adds_up = false; ///< The counts add up and the journal is clean.
};

/// Counts outcomes, waiting time by class (from sending to the first start on
/// a worker) and each team's part of the processor time against its share.
[[nodiscard]] dev_summary summarize(
    const std::vector<mix_result>& results,
    const std::vector<run_entry>& journal,
    const rules& in_force,
    instant now);

/// The summary for people.
[[nodiscard]] std::string write_summary(const dev_summary& summary);

} // namespace acaciastile
