#include "cli/commands/process_commands.hpp"
#include "cli/output.hpp"
#include "cli/text_file.hpp"
#include "edge/edge_process.hpp"
#include "platform/edge_settings.hpp"
#include "platform/site_adapter.hpp"

#include <cstdlib>

namespace acaciastile::commands
{

namespace
{

/// Names the settings file where the command line does not.
constexpr const char* settings_variable = "ACACIASTILE_SETTINGS";

} // namespace

exit_status edge(const command_arguments& arguments)
{
    const char* named = std::getenv(settings_variable);
    if (arguments.size() > 1 || (arguments.empty() && named == nullptr))
    {
        return report_usage(
            "edge needs one settings file, or its path in " +
            std::string(settings_variable));
    }
    const auto text =
        read_text_file(arguments.empty() ? named : arguments.front());
    if (!text)
    {
        return report(text.error());
    }
    const auto settings = site::decode_edge_settings(*text);
    if (!settings)
    {
        return report(settings.error());
    }
    auto process = edge::edge_process::create(*settings, site::make_adapter);
    if (!process)
    {
        return report(process.error());
    }
    (*process)->run();
    // Nothing is kept between starts. The logging library's end waits for its
    // threads, which can take longer than the grace period leaves.
    std::_Exit(static_cast<int>(exit_status::done));
}

} // namespace acaciastile::commands
