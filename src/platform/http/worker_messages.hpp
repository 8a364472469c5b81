#pragma once

#include "platform/worker_gateway.hpp"

#include <string>

namespace acaciastile
{

/// `POST /v1/worker/ID/call` as sent; the worker's address is left out.
struct worker_call_message
{
    std::string caller; ///< Name of the instance.
    worker_call call;
};

/// The workers' messages as MessagePack arrays; `docs/design/transport.md`
/// gives the order of their members. Errors of every reader: `malformed`.
[[nodiscard]] std::string encode(const worker_call_message& message);
[[nodiscard]] std::string encode(const worker_report& report);
[[nodiscard]] std::string encode(const worker_notice& notice);
[[nodiscard]] result<worker_call_message>
decode_worker_call(const std::string& bytes);
[[nodiscard]] result<worker_report>
decode_worker_report(const std::string& bytes);
[[nodiscard]] result<worker_notice>
decode_worker_notice(const std::string& bytes);

} // namespace acaciastile
