#pragma once

#include "domain/error.hpp"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace acaciastile
{

/// A value or an error.
template<class Value>
using result = tl::expected<Value, error>;

/// Makes the error alternative of a `result`.
[[nodiscard]] inline tl::unexpected<error>
refuse(refusal_code code, verdict effect, std::string message)
{
    return tl::unexpected<error>(error{code, effect, std::move(message), {}});
}

/// Makes the error alternative of a `result` for a request that is known to
/// have had no effect.
[[nodiscard]] inline tl::unexpected<error>
refuse(refusal_code code, std::string message)
{
    return refuse(code, verdict::not_run, std::move(message));
}

} // namespace acaciastile
