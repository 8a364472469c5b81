#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace acaciastile
{

/// A whole answer over HTTP.
struct api_reply
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    /// When the caller should come back; goes into `Retry-After`.
    std::optional<std::chrono::seconds> retry_after;
    std::string refusal; ///< Code of a refusal, for the metrics.
};

} // namespace acaciastile
