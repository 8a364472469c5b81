#pragma once

#include "support/policy_outcome.hpp"

#include <string>
#include <vector>

namespace acaciastile::bench
{

/// A plain-text summary, grouped by workload.
[[nodiscard]] std::string to_text(const std::vector<outcome>& outcomes);
/// A JSON array with one object for each outcome.
[[nodiscard]] std::string to_json(const std::vector<outcome>& outcomes);
/// An SVG bar chart of the 99th percentile of waiting times by work class, on a
/// logarithmic scale, with one panel for each workload.
[[nodiscard]] std::string to_svg(const std::vector<outcome>& outcomes);

} // namespace acaciastile::bench
