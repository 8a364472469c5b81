#pragma once

#include "cli/command.hpp"

namespace acaciastile::commands
{

exit_status check_config(const command_arguments& arguments);
exit_status check_settings(const command_arguments& arguments);
exit_status settings_page(const command_arguments& arguments);
exit_status make_inventory(const command_arguments& arguments);
exit_status make_rules(const command_arguments& arguments);
exit_status version(const command_arguments& arguments);

} // namespace acaciastile::commands
