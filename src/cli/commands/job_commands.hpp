#pragma once

#include "cli/command.hpp"

namespace acaciastile::commands
{

exit_status submit(const command_arguments& arguments);
exit_status request(const command_arguments& arguments);
exit_status status(const command_arguments& arguments);
exit_status cancel(const command_arguments& arguments);
exit_status wait(const command_arguments& arguments);
exit_status list(const command_arguments& arguments);

/// The lines of help for the flags that describe a job.
extern const char* const job_flags_help;

} // namespace acaciastile::commands
