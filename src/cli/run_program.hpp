#pragma once

namespace acaciastile
{

/// Reads the command line and runs its subcommand. Returns the process's
/// exit status.
[[nodiscard]] int run_program(int argc, char** argv);

} // namespace acaciastile
