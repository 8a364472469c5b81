#include "cli/client_flags.hpp"
#include "cli/commands/document_commands.hpp"
#include "cli/config/config_report.hpp"
#include "cli/config/live_documents.hpp"
#include "cli/output.hpp"
#include "cli/text_file.hpp"
#include "codec/json_text.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(
    std::string,
    against,
    "",
    "file to compare with, or LIVE: what is in force at the instance");

namespace acaciastile::commands
{

namespace
{

constexpr int json_indent = 2;

config_check check_file(const std::string& file)
{
    const auto text = read_text_file(file);
    return text ? config_check::of_text(*text)
                : config_check::unreadable(text.error().message);
}

void compare_with_file(config_report& report)
{
    const config_check other = check_file(report.against);
    if (other.has_errors())
    {
        report.check.add_not_compared(
            "cannot compare with '" + report.against +
            "': " + other.findings().front().message);
        return;
    }
    compare(report, other);
}

void compare_with_live(config_report& report)
{
    auto client = client_from_flags();
    const auto found =
        client ? read_live_documents(**client)
               : result<live_documents>(tl::unexpected(client.error()));
    if (!found)
    {
        report.check.add_not_compared(
            "cannot read what is in force: " + found.error().message + " (" +
            std::string(to_string(found.error().code)) + ")");
        return;
    }
    report.revision = report.check.is_inventory() ? found->inventory_revision
                                                  : found->rules_revision;
    for (const std::string& text : {found->inventory, found->rules})
    {
        const config_check other = config_check::of_text(text);
        if (other.has_errors())
        {
            report.check.add_not_compared(
                "cannot read what is in force: " +
                other.findings().front().message);
            return;
        }
        compare(report, other);
    }
}

} // namespace

exit_status check_config(const command_arguments& arguments)
{
    if (arguments.size() != 1)
    {
        return report_usage("check-config needs one file");
    }
    config_report report;
    report.file = arguments.front();
    report.check = check_file(report.file);
    report.against = absl::GetFlag(FLAGS_against);
    if (!report.against.empty() && !report.check.has_errors())
    {
        if (report.against == "LIVE")
        {
            compare_with_live(report);
        }
        else
        {
            compare_with_file(report);
        }
    }
    const std::string text =
        output_is_json() ? to_json_text(to_json(report), json_indent) + "\n"
                         : to_text(report);
    const auto written = write_text_file("-", text);
    if (!written)
    {
        static_cast<void>(acaciastile::report(written.error()));
        return exit_status::check_failed;
    }
    return status_of(report.check);
}

} // namespace acaciastile::commands
