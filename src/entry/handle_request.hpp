#pragma once

#include "entry/api_route.hpp"
#include "entry/http_daemon.hpp"

#include <string>

namespace acaciastile
{

/// A request as read, before it was checked.
struct raw_request
{
    api_request request;
    std::string authorization; ///< The header's text; empty where none came.
    bool trusted = true;       ///< False: no certificate of the CA of callers.
};

/// Checks the bounds and the header, calls the route's handler and measures.
/// Every outcome is a whole answer. `route` is null where none matched.
[[nodiscard]] api_reply handle_request(
    listener_shared& shared, const api_route* route, raw_request read);

} // namespace acaciastile
