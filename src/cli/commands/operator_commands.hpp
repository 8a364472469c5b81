#pragma once

#include "cli/command.hpp"

namespace acaciastile::commands
{

exit_status import_inventory(const command_arguments& arguments);
exit_status publish(const command_arguments& arguments);
exit_status keys(const command_arguments& arguments);
exit_status drain(const command_arguments& arguments);
exit_status declare_dead(const command_arguments& arguments);
exit_status configuration(const command_arguments& arguments);
exit_status teams(const command_arguments& arguments);
exit_status workers(const command_arguments& arguments);
exit_status dump(const command_arguments& arguments);

} // namespace acaciastile::commands
