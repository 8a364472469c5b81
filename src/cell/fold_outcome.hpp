#pragma once

#include "domain/error.hpp"
#include "domain/ids.hpp"

#include <optional>

namespace acaciastile
{

/// The result of applying one record to the replicated state. It is
/// deterministic: every process that applies the same records in the same
/// order gets the same outcome.
struct fold_outcome
{
    log_offset offset = 0;        ///< Offset of the record.
    bool duplicate = false;       ///< The record was applied before.
    std::optional<error> refusal; ///< Empty if accepted.
    revision in_force = 0;        ///< Revision after the record, if it has one.

    [[nodiscard]] bool accepted() const noexcept
    {
        return !refusal && !duplicate;
    }
};

} // namespace acaciastile
