#pragma once

#include "entry/api_context.hpp"
#include "entry/api_route.hpp"

#include <vector>

namespace acaciastile
{

/// The callers' calls: submit, request, status, cancel and list.
[[nodiscard]] std::vector<api_route> caller_routes(const api_context& context);

} // namespace acaciastile
