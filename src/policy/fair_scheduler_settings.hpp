#pragma once

#include <cstddef>

namespace acaciastile
{

/// What of the scheduler can be set when it is created.
struct fair_scheduler_settings
{
    /// Jobs of one team that are tried in one decision before the team is
    /// passed over until the next call.
    std::size_t jobs_tried = 64;
};

} // namespace acaciastile
