#pragma once

#include "domain/error.hpp"
#include "domain/ids.hpp"

#include <optional>

namespace acaciastile
{

/// What the fold made of one record. Every process that folds the same
/// records gets the same outcome.
struct fold_outcome
{
    log_offset offset = 0;        ///< Where the record was read.
    bool duplicate = false;       ///< The id was seen before.
    std::optional<error> refusal; ///< Empty where accepted.
    revision in_force = 0; ///< Revision in force after it, where it has one.

    [[nodiscard]] bool accepted() const noexcept
    {
        return !refusal && !duplicate;
    }
};

} // namespace acaciastile
