#pragma once

#include "entry/api_context.hpp"
#include "entry/api_route.hpp"

#include <functional>
#include <string>
#include <vector>

namespace acaciastile
{

/// Decodes a worker's notice and hands it to the control thread.
using notice_handler = std::function<result<void>(const std::string& body)>;

/// The internal port's calls: those of other instances, and workers' notices.
[[nodiscard]] std::vector<api_route>
peer_routes(const api_context& context, notice_handler notices);

} // namespace acaciastile
