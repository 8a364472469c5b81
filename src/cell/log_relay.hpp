#pragma once

#include "cell/log_tail.hpp"
#include "domain/instant.hpp"
#include "domain/result.hpp"

#include <string>
#include <string_view>

namespace acaciastile
{

/// Answers `relay_read_method` calls of peers from the entries that this
/// process has read.
class log_relay
{
public:
    explicit log_relay(const log_tail& tail) : tail_(tail) {}

    /// Returns the encoded reply. Errors: `malformed`; `log_unavailable` if
    /// this process never reached the head of the log; `offset_expired`.
    [[nodiscard]] result<std::string>
    serve(instant now, std::string_view body) const;

private:
    const log_tail& tail_;
};

} // namespace acaciastile
