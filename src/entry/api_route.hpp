#pragma once

#include "entry/api_reply.hpp"
#include "entry/api_request.hpp"

#include <functional>
#include <string>

namespace acaciastile
{

using api_handler = std::function<api_reply(const api_request&)>;

/// One call of the interface. Handlers run on traffic threads.
struct api_route
{
    std::string method; ///< Upper case.
    std::string path;   ///< `/v1/jobs/:id`; a variable begins with a colon.
    std::string name;   ///< Short and stable; labels the metrics.
    api_handler handler;
};

} // namespace acaciastile
