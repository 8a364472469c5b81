#include "cli/commands/operator_commands.hpp"

#include "cli/client_flags.hpp"
#include "cli/output.hpp"
#include "cli/register_import.hpp"
#include "cli/text_file.hpp"
#include "codec/document_codec.hpp"
#include "codec/url_text.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>

ABSL_DECLARE_FLAG(std::string, team);

ABSL_FLAG(
    std::string,
    base,
    "",
    "revision that is replaced, or `current`: the one in force at the moment");
ABSL_FLAG(std::string, right, "caller", "of a key: caller or operate");
ABSL_FLAG(bool, end, false, "end the drain");
ABSL_FLAG(
    std::string, out, "", "write the document there instead of publishing");

namespace acaciastile::commands
{

using nlohmann::json;

namespace
{

exit_status
call(const std::string& method, const std::string& path, std::string body = "")
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    return print_outcome((*client)->call(method, path, body));
}

/// The answer's list as a table.
exit_status call_for_table(
    const std::string& path,
    const char* list,
    const std::vector<table_column>& columns)
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    const auto answer = (*client)->call("GET", path);
    if (!answer)
    {
        return report(answer.error());
    }
    print_table(answer->value(list, json::array()), columns);
    return exit_status::done;
}

/// The revision in force of `what` at the instance that is asked.
result<std::string>
current_revision(api_client& client, const std::string& what)
{
    const auto answer = client.call("GET", "/v1/configuration");
    if (!answer)
    {
        return tl::unexpected(answer.error());
    }
    std::uint64_t newest = 0;
    for (const json& each : answer->value("instances", json::array()))
    {
        newest =
            std::max(newest, each.value(what + "_revision", std::uint64_t{0}));
    }
    return std::to_string(newest);
}

exit_status put(const std::string& what, const std::string& text)
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    std::string base = absl::GetFlag(FLAGS_base);
    if (base.empty())
    {
        return report_usage("--base=N or --base=current is needed");
    }
    if (base == "current")
    {
        auto found = current_revision(**client, what);
        if (!found)
        {
            return report(found.error());
        }
        base = *found;
    }
    return print_outcome((*client)->call(
        "PUT", "/v1/" + what + "?base=" + escape_url(base), text));
}

exit_status report_input(error wrong, const std::string& file)
{
    wrong.position.file = file;
    static_cast<void>(report(wrong));
    return exit_status::wrong_input;
}

std::string worker_body(const command_arguments& workers, bool draining)
{
    return json{{"workers", workers}, {"draining", draining}}.dump();
}

} // namespace

exit_status import_inventory(const command_arguments& arguments)
{
    if (arguments.size() != 1)
    {
        return report_usage("import-inventory needs one CSV file");
    }
    const std::string& file = arguments.front();
    auto text = read_text_file(file);
    if (!text)
    {
        return report_input(text.error(), file);
    }
    auto read = import_register(*text, file);
    if (!read)
    {
        return report_input(read.error(), file);
    }
    const std::string document = to_json_text(*read);
    const std::string out = absl::GetFlag(FLAGS_out);
    if (out.empty())
    {
        return put("inventory", document);
    }
    auto written = write_text_file(out, document + "\n");
    return written ? exit_status::done : report(written.error());
}

exit_status publish(const command_arguments& arguments)
{
    if (arguments.size() != 2 ||
        (arguments[0] != "inventory" && arguments[0] != "rules"))
    {
        return report_usage("publish needs `inventory FILE` or `rules FILE`");
    }
    const std::string& file = arguments[1];
    auto text = read_text_file(file);
    if (!text)
    {
        return report_input(text.error(), file);
    }
    if (arguments[0] == "inventory")
    {
        if (auto checked = parse_inventory(*text); !checked)
        {
            return report_input(checked.error(), file);
        }
    }
    else if (auto checked = parse_rules(*text); !checked)
    {
        return report_input(checked.error(), file);
    }
    return put(arguments[0], *text);
}

exit_status drain(const command_arguments& arguments)
{
    if (arguments.empty())
    {
        return report_usage("drain needs at least one worker's id");
    }
    const bool draining = !absl::GetFlag(FLAGS_end);
    return call("POST", "/v1/workers/drain", worker_body(arguments, draining));
}

exit_status declare_dead(const command_arguments& arguments)
{
    if (arguments.empty())
    {
        return report_usage("declare-dead needs at least one worker's id");
    }
    return call(
        "POST", "/v1/workers/dead", json{{"workers", arguments}}.dump());
}

exit_status configuration(const command_arguments& /*arguments*/)
{
    return call_for_table(
        "/v1/configuration",
        "instances",
        {{"INSTANCE", "instance"},
         {"FOLDED", "folded"},
         {"INVENTORY", "inventory_revision"},
         {"RULES", "rules_revision"},
         {"LOG AGE MS", "log_age_ms"},
         {"UNREACHABLE", "unreachable.code"}});
}

exit_status teams(const command_arguments& /*arguments*/)
{
    return call_for_table(
        "/v1/teams",
        "teams",
        {{"TEAM", "name"},
         {"SHARE", "share"},
         {"LIMIT MCPU", "upper_limit.milli_processors"},
         {"ALLOWED", "allowance.milli_processors"},
         {"RUNNING", "running.milli_processors"},
         {"WAITING", "waiting.milli_processors"},
         {"SHARDS UNHEARD", "shards_unheard"}});
}

exit_status workers(const command_arguments& /*arguments*/)
{
    return call_for_table(
        "/v1/workers",
        "workers",
        {{"WORKER", "worker.id"},
         {"RACK", "worker.rack"},
         {"SHARD", "shard"},
         {"STATE", "state"},
         {"TASKS", "tasks"},
         {"MCPU", "worker.capacity.milli_processors"},
         {"USED", "used.milli_processors"},
         {"MEMORY", "worker.capacity.memory_mib"},
         {"USED", "used.memory_mib"}});
}

exit_status dump(const command_arguments& /*arguments*/)
{
    return call("GET", "/v1/dump");
}

} // namespace acaciastile::commands
