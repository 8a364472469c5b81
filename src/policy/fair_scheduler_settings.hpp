#pragma once

namespace acaciastile
{

/// What of the scheduler can be set when it is created.
struct fair_scheduler_settings
{
    /// Keeps work away from workers that fail everything they start.
    bool quarantine = true;
};

} // namespace acaciastile
