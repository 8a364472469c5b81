#pragma once

#include "cli/dev/mix_runner.hpp"
#include "cli/sample_site.hpp"

namespace acaciastile
{

/// Publishes the sample inventory and rules through the control interface,
/// grants a key to every team and waits until all of it is in force at every
/// instance. Errors: those of the calls; `deadline_exceeded` where it is not
/// in force within the target's bound.
[[nodiscard]] result<mix_target>
set_cell_up(mix_target target, const inventory& workers, const rules& sample);

} // namespace acaciastile
