#pragma once

#include "cli/exit_status.hpp"

#include <string>
#include <vector>

namespace acaciastile
{

/// What follows the subcommand's name, without flags.
using command_arguments = std::vector<std::string>;

/// One subcommand.
struct command
{
    std::string name;
    std::string usage;   ///< What follows the name.
    std::string summary; ///< One sentence.
    std::string flags;   ///< The flags that it reads, one a line.
    std::string example; ///< A line that works.
    exit_status (*run)(const command_arguments& arguments) = nullptr;
    bool hidden = false;
};

} // namespace acaciastile
