#pragma once

#include "support/policy_outcome.hpp"

#include <string>
#include <vector>

namespace acaciastile::bench
{

[[nodiscard]] std::string to_text(const std::vector<outcome>& outcomes);
[[nodiscard]] std::string to_json(const std::vector<outcome>& outcomes);
/// Bars of the waiting p99 by class on a logarithmic scale, one panel for
/// each workload.
[[nodiscard]] std::string to_svg(const std::vector<outcome>& outcomes);

} // namespace acaciastile::bench
