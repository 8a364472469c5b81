#include "cli/commands/process_commands.hpp"
#include "cli/output.hpp"
#include "cli/serve_process.hpp"
#include "cli/settings_reader.hpp"
#include "cli/signal_waiter.hpp"

#include <cstdio>

namespace acaciastile::commands
{

exit_status serve(const command_arguments& arguments)
{
    if (arguments.size() != 1)
    {
        return report_usage("serve needs one settings file");
    }
    const auto outcome = read_settings_file(arguments.front());
    for (const error& each : outcome.errors)
    {
        std::fputs((describe(each) + "\n").c_str(), stderr);
    }
    if (!outcome.errors.empty())
    {
        return exit_status::wrong_input;
    }
    signal_waiter signals;
    auto process = serve_process::create(outcome.settings);
    if (!process)
    {
        static_cast<void>(report(process.error()));
        return exit_status::wrong_input;
    }
    while (signals.wait() == process_signal::reload)
    {
        (*process)->reload();
    }
    return (*process)->shut_down() ? exit_status::done : exit_status::unknown;
}

} // namespace acaciastile::commands
