#pragma once

#include "domain/error.hpp"
#include "entry/api_reply.hpp"

#include <chrono>

namespace acaciastile
{

/// When a caller should come back after a refusal that will pass.
inline constexpr std::chrono::seconds come_back_after{2};

/// The HTTP status of a refusal.
[[nodiscard]] int http_status_of(refusal_code code) noexcept;

/// True where the same call may succeed a little later.
[[nodiscard]] bool may_pass_later(refusal_code code) noexcept;

/// Writes `{"error":{"code","verdict","message","position"}}` with the right
/// status and, where the caller should come back, `Retry-After`.
[[nodiscard]] api_reply make_error_reply(const error& refused);

} // namespace acaciastile
