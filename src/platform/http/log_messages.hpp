#pragma once

#include "platform/log_service.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace acaciastile
{

/// `POST /v1/log/append` as sent.
struct log_append_message
{
    std::string caller; ///< Name of the instance.
    stream_name stream;
    std::vector<std::string> bodies;
};

/// `POST /v1/log/read` as sent.
struct log_read_message
{
    std::string caller;
    stream_name stream;
    log_offset from = 0;
    std::size_t limit_bytes = 0;
};

/// The log's messages as MessagePack arrays; `docs/design/transport.md` gives
/// the order of their members. Errors of every reader: `malformed`.
[[nodiscard]] std::string encode(const log_append_message& message);
[[nodiscard]] std::string encode(const log_read_message& message);
[[nodiscard]] std::string encode(const append_receipt& receipt);
[[nodiscard]] std::string encode(const log_page& page);
[[nodiscard]] result<log_append_message>
decode_log_append(const std::string& bytes);
[[nodiscard]] result<log_read_message>
decode_log_read(const std::string& bytes);
[[nodiscard]] result<append_receipt>
decode_append_receipt(const std::string& bytes);
[[nodiscard]] result<log_page> decode_log_page(const std::string& bytes);

} // namespace acaciastile
