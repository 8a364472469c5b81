#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Name of the peer call that reads the cell's stream.
inline constexpr const char* relay_read_method = "log.read";

/// Requests the entries of the cell's stream that a peer has read.
struct relay_request
{
    log_offset from = 1;
    std::size_t limit_bytes = 0;
};

/// A page from the peer's cache. `age` is the time, when the peer answers,
/// since the cache was last known to hold everything in the log.
struct relay_reply
{
    log_page page;
    milliseconds age{0};
};

[[nodiscard]] std::string encode(const relay_request& message);
[[nodiscard]] std::string encode(const relay_reply& message);

/// Errors: `malformed`.
[[nodiscard]] result<relay_request>
decode_relay_request(std::string_view encoded);
[[nodiscard]] result<relay_reply> decode_relay_reply(std::string_view encoded);

} // namespace acaciastile
