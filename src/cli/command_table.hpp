#pragma once

#include "cli/command.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace acaciastile
{

/// Every subcommand, in the order of the help.
[[nodiscard]] const std::vector<command>& command_table();

/// Null where there is none of that name.
[[nodiscard]] const command* find_command(std::string_view name);

/// The overview of all subcommands.
[[nodiscard]] std::string help_text();

/// The help of one subcommand.
[[nodiscard]] std::string help_text(const command& about);

} // namespace acaciastile
