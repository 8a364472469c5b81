#pragma once

#include "domain/instant.hpp"
#include "domain/result.hpp"
#include "platform/log_service.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Name of the call between instances that reads the cell's stream.
inline constexpr const char* relay_read_method = "log.read";

/// Asks a peer for what it has read of the cell's stream.
struct relay_request
{
    log_offset from = 1;
    std::size_t limit_bytes = 0;
};

/// A page out of the peer's memory, and how long ago, at the moment of the
/// answer, the peer knew all that the log had.
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
