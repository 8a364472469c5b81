#include "cli/commands/document_commands.hpp"

#include "cli/output.hpp"
#include "cli/sample_site.hpp"
#include "cli/settings_page.hpp"
#include "cli/settings_reader.hpp"
#include "cli/text_file.hpp"
#include "cli/version.hpp"
#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"

#include <absl/flags/flag.h>
#include <cstdio>

ABSL_FLAG(std::string, site, "both", "almaty, lima, both or letter");
ABSL_FLAG(
    std::string,
    worker_address,
    "127.0.0.1:7070",
    "address of every sample worker");

namespace acaciastile::commands
{

namespace
{

constexpr int indent = 1;

exit_status write(const std::string& text)
{
    const auto written = write_text_file("-", text + "\n");
    return written ? exit_status::done : report(written.error());
}

} // namespace

exit_status check_settings(const command_arguments& arguments)
{
    if (arguments.size() != 1)
    {
        return report_usage("check-settings needs one file");
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
    std::puts("settings: no errors");
    return exit_status::done;
}

exit_status settings_page(const command_arguments& /*arguments*/)
{
    const auto written = write_text_file("-", write_settings_page());
    return written ? exit_status::done : report(written.error());
}

exit_status make_inventory(const command_arguments& /*arguments*/)
{
    const auto site = parse_sample_site(absl::GetFlag(FLAGS_site));
    if (!site)
    {
        return report_usage(site.error().message);
    }
    const auto made =
        make_sample_inventory(*site, absl::GetFlag(FLAGS_worker_address));
    return write(to_json_text(to_json(made), indent));
}

exit_status make_rules(const command_arguments& /*arguments*/)
{
    const auto site = parse_sample_site(absl::GetFlag(FLAGS_site));
    if (!site)
    {
        return report_usage(site.error().message);
    }
    return write(to_json_text(to_json(make_sample_rules(*site)), indent));
}

exit_status version(const command_arguments& /*arguments*/)
{
    print_object({{"version", program_version}});
    return exit_status::done;
}

} // namespace acaciastile::commands
