#pragma once

#include "cell/log_tail.hpp"
#include "domain/instant.hpp"
#include "domain/result.hpp"

#include <string>
#include <string_view>

namespace acaciastile
{

/// Serves `relay_read_method` to peers out of what this process has read.
class log_relay
{
public:
    explicit log_relay(const log_tail& tail) : tail_(tail) {}

    /// The encoded reply. Errors: `malformed`; `log_unavailable` where this
    /// process never had contact; `offset_expired`.
    [[nodiscard]] result<std::string>
    serve(instant now, std::string_view body) const;

private:
    const log_tail& tail_;
};

} // namespace acaciastile
