#pragma once

#include "cli/dev/mix_result.hpp"

#include <map>
#include <string>
#include <vector>

namespace acaciastile
{

/// Where the mix is sent and what it is sent with.
struct mix_target
{
    std::vector<std::string> addresses; ///< Control interfaces.
    std::map<team_name, std::string> keys;
    std::string operator_key;
    milliseconds bound{120'000}; ///< For all of it.
};

/// Sends every item to one of the instances through the control interface,
/// with several callers at once, then asks another instance for the status
/// of each until all have an outcome or the bound has passed.
[[nodiscard]] std::vector<mix_result> run_mix(
    const mix_target& target,
    const std::vector<mix_item>& items,
    const clock_source& clock);

} // namespace acaciastile
