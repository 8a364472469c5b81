#pragma once

#include "domain/refusal_code.hpp"
#include "domain/source_position.hpp"
#include "domain/verdict.hpp"

#include <string>

namespace acaciastile
{

/// A rejected request or a failed call: a stable code, whether the request may
/// have taken effect, a human-readable message and, for parsed input, the
/// position in its source.
struct error
{
    refusal_code code = refusal_code::internal;
    verdict effect = verdict::not_run;
    std::string message;
    source_position position;

    [[nodiscard]] bool operator==(const error&) const = default;
};

} // namespace acaciastile
