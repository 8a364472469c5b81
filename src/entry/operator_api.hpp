#pragma once

#include "entry/api_context.hpp"
#include "entry/api_route.hpp"

#include <vector>

namespace acaciastile
{

/// The operators' calls: publish, keys, drain, what is in force, dump.
[[nodiscard]] std::vector<api_route>
operator_routes(const api_context& context);

} // namespace acaciastile
