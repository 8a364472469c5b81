#pragma once

#include "cli/command.hpp"

namespace acaciastile::commands
{

exit_status serve(const command_arguments& arguments);
exit_status edge(const command_arguments& arguments);
exit_status dev(const command_arguments& arguments);
exit_status platform(const command_arguments& arguments);
exit_status load(const command_arguments& arguments);

} // namespace acaciastile::commands
