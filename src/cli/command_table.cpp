#include "cli/command_table.hpp"

#include "cli/client_flags.hpp"
#include "cli/commands/document_commands.hpp"
#include "cli/commands/job_commands.hpp"
#include "cli/commands/operator_commands.hpp"
#include "cli/commands/process_commands.hpp"

#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <algorithm>

namespace acaciastile
{

namespace
{

constexpr std::size_t name_width = 18;

void add_process_commands(std::vector<command>& to)
{
    to.push_back(
        {"serve",
         "FILE",
         "Runs an instance with the settings in FILE until SIGTERM.",
         "",
         "acaciastile serve /etc/acaciastile.json",
         commands::serve});
    to.push_back(
        {"edge",
         "[FILE]",
         "Runs an entry VM on the users' platform with the settings in FILE, "
         "or in the file that ACACIASTILE_SETTINGS names, until SIGTERM.",
         "",
         "acaciastile edge /etc/acaciastile/local.conf",
         commands::edge});
    to.push_back(
        {"dev",
         "",
         "Runs several instances on an embedded platform in one process, "
         "submits a sample mix and tells what became of it.",
         "--instances=3 --seed=1 --jobs=300\n"
         "--bound=120s            longest time that the mix may take\n",
         "acaciastile dev --instances=3",
         commands::dev});
    to.push_back(
        {"platform",
         "",
         "Serves stand-ins of log, VM list and workers for trials on "
         "loopback.",
         "--listen=127.0.0.1:7070\n"
         "--inventory=FILE        its workers; else the sample of --site\n"
         "--entries=NAME@CENTRE@A.B.C.D:PORT,...  instances in the VM list\n",
         "acaciastile platform --site=both "
         "--entries=entry-1@almaty-1@127.0.0.1:7081",
         commands::platform});
    to.push_back(
        {"load",
         "SCENARIO",
         "Sends calls at a steady rate whatever the answers, measures from "
         "the intended start, and writes a report.",
         std::string("--report=FILE --plot=FILE.svg\n") + client_flags_help,
         "acaciastile load examples/load.json --report=-",
         commands::load});
}

void add_job_commands(std::vector<command>& to)
{
    const std::string flags =
        std::string(commands::job_flags_help) + client_flags_help;
    to.push_back(
        {"submit",
         "[FILE]",
         "Submits a service, batch or gang job.",
         "--kind=batch|service|gang\n" + flags,
         "acaciastile submit --id=scan-1 --team=archive "
         "--queue=archive-scans --tasks=4 --run_time=2s",
         commands::submit});
    to.push_back(
        {"request",
         "[FILE]",
         "Runs a request and prints its answer.",
         "--deadline=10s\n" + flags,
         "acaciastile request --id=order-77 --team=orders --queue=materials "
         "--repeatable=false",
         commands::request});
    to.push_back(
        {"status",
         "ID",
         "Tells how far a job is.",
         std::string("--why                   say why it waits\n") +
             client_flags_help,
         "acaciastile status scan-1 --why",
         commands::status});
    to.push_back(
        {"cancel",
         "ID",
         "Cancels a job.",
         client_flags_help,
         "acaciastile cancel scan-1",
         commands::cancel});
    to.push_back(
        {"wait",
         "ID",
         "Waits until all tasks of a job have ended.",
         std::string("--patience=24h\n") + client_flags_help,
         "acaciastile wait scan-1 --patience=10m",
         commands::wait});
    to.push_back(
        {"list",
         "",
         "Lists the jobs that the key may see.",
         std::string("--team=TEAM --limit=100\n") + client_flags_help,
         "acaciastile list --limit=20",
         commands::list});
}

void add_publishing_commands(std::vector<command>& to)
{
    to.push_back(
        {"import-inventory",
         "CSV",
         "Makes an inventory of an asset register in CSV and publishes it.",
         std::string("--base=N|current\n"
                     "--out=FILE              write it, publish nothing\n") +
             client_flags_help,
         "acaciastile import-inventory register.csv --base=current",
         commands::import_inventory});
    to.push_back(
        {"publish",
         "inventory|rules FILE",
         "Publishes an inventory or rules on top of a base revision.",
         std::string("--base=N|current\n") + client_flags_help,
         "acaciastile publish rules rules.json --base=12",
         commands::publish});
    to.push_back(
        {"keys",
         "grant|withdraw ID|make ID",
         "Grants and withdraws keys; makes an operator's first key.",
         std::string("--team=TEAM --right=caller|operate\n") +
             client_flags_help,
         "acaciastile keys grant --team=orders",
         commands::keys});
    to.push_back(
        {"drain",
         "WORKER...",
         "Closes workers for new work.",
         std::string("--end                   opens them again\n") +
             client_flags_help,
         "acaciastile drain almaty-w00001",
         commands::drain});
    to.push_back(
        {"declare-dead",
         "WORKER...",
         "States that workers have ended and nothing runs on them.",
         client_flags_help,
         "acaciastile declare-dead almaty-w00001",
         commands::declare_dead});
}

void add_watching_commands(std::vector<command>& to)
{
    to.push_back(
        {"configuration",
         "",
         "Shows which configuration is in force at each instance.",
         client_flags_help,
         "acaciastile configuration",
         commands::configuration});
    to.push_back(
        {"teams",
         "",
         "Shows shares, limits and what runs and waits by team.",
         client_flags_help,
         "acaciastile teams --output=json",
         commands::teams});
    to.push_back(
        {"workers",
         "",
         "Shows the state and use of every worker.",
         client_flags_help,
         "acaciastile workers",
         commands::workers});
    to.push_back(
        {"dump",
         "",
         "Prints the whole state of the instance that is asked.",
         client_flags_help,
         "acaciastile dump --output=json > dump.json",
         commands::dump});
}

void add_document_commands(std::vector<command>& to)
{
    to.push_back(
        {"check-settings",
         "FILE",
         "Checks a settings file and tells every error in it.",
         "",
         "acaciastile check-settings /etc/acaciastile.json",
         commands::check_settings});
    to.push_back(
        {"check-config",
         "FILE",
         "Checks an inventory or rules before they are published, and tells "
         "what differs from another version.",
         std::string("--against=FILE|LIVE     compare with a file, or with "
                     "what is in force\n") +
             client_flags_help,
         "acaciastile check-config rules.json --against=LIVE",
         commands::check_config});
    to.push_back(
        {"make-inventory",
         "",
         "Writes a sample inventory.",
         "--site=almaty|lima|both|letter\n"
         "--worker_address=127.0.0.1:7070\n",
         "acaciastile make-inventory --site=letter > inventory.json",
         commands::make_inventory});
    to.push_back(
        {"make-rules",
         "",
         "Writes sample rules.",
         "--site=almaty|lima|both|letter\n",
         "acaciastile make-rules --site=both > rules.json",
         commands::make_rules});
    to.push_back(
        {"version",
         "",
         "Prints the version.",
         "--output=text|json\n",
         "acaciastile version",
         commands::version});
    command page{
        "settings-page",
        "",
        "Writes docs/operators/settings.md.",
        "",
        "acaciastile settings-page > docs/operators/settings.md",
        commands::settings_page};
    page.hidden = true;
    to.push_back(std::move(page));
}

std::vector<command> make_commands()
{
    std::vector<command> made;
    add_process_commands(made);
    add_job_commands(made);
    add_publishing_commands(made);
    add_watching_commands(made);
    add_document_commands(made);
    return made;
}

} // namespace

const std::vector<command>& command_table()
{
    static const std::vector<command> table = make_commands();
    return table;
}

const command* find_command(std::string_view name)
{
    auto at = std::find_if(
        command_table().begin(),
        command_table().end(),
        [&](const command& each) { return each.name == name; });
    return at == command_table().end() ? nullptr : &*at;
}

std::string help_text()
{
    std::string text = "acaciastile SUBCOMMAND [ARGUMENTS] [--FLAGS]\n\n";
    for (const command& each : command_table())
    {
        if (!each.hidden)
        {
            std::string name = each.name;
            name.resize(std::max(name_width, name.size() + 1), ' ');
            text += "  " + name + each.summary + "\n";
        }
    }
    return text + "\nacaciastile help SUBCOMMAND tells more.\n";
}

std::string help_text(const command& about)
{
    std::string text = "acaciastile " + about.name +
                       (about.usage.empty() ? "" : " " + about.usage) + "\n\n" +
                       about.summary + "\n";
    if (!about.flags.empty())
    {
        text += "\n";
        for (const absl::string_view line :
             absl::StrSplit(about.flags, '\n', absl::SkipEmpty()))
        {
            text += "  " + std::string(line) + "\n";
        }
    }
    return text + "\nExample:\n\n  " + about.example + "\n";
}

} // namespace acaciastile
