#pragma once

namespace acaciastile
{

/// What of the scheduler can be set when it is created.
struct fair_scheduler_settings
{
};

} // namespace acaciastile
