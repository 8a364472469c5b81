#include "cli/commands/job_commands.hpp"

#include "cli/client_flags.hpp"
#include "cli/job_flags.hpp"
#include "cli/output.hpp"
#include "cli/wait_for_job.hpp"
#include "codec/url_text.hpp"

#include <absl/flags/declare.h>
#include <absl/flags/flag.h>
#include <cstdint>

ABSL_DECLARE_FLAG(std::string, team);

ABSL_FLAG(bool, why, false, "say why the job waits");
ABSL_FLAG(std::uint32_t, limit, 100, "most jobs that are listed");
ABSL_FLAG(absl::Duration, patience, absl::Hours(24), "longest wait of `wait`");

namespace acaciastile::commands
{

using nlohmann::json;

const char* const job_flags_help =
    "--id=ID --queue=QUEUE --team=TEAM --tasks=1 --name=NAME\n"
    "--processors=1.0 --memory=256MiB --accelerators=0 --run_time=0s\n"
    "--repeatable=true       false: runs at most once\n"
    "--payload=TEXT          handed to the worker as it is\n";

namespace
{

/// Sends one call and prints its answer.
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

exit_status
send_job(const command_arguments& arguments, job_kind kind, const char* path)
{
    auto body = job_body(arguments, kind);
    if (!body)
    {
        return report_usage(body.error().message);
    }
    return call("POST", path, *body);
}

bool names_one(const command_arguments& arguments)
{
    return arguments.size() == 1 && !arguments.front().empty();
}

std::string job_path(const std::string& id)
{
    return "/v1/jobs/" + escape_url(id);
}

} // namespace

exit_status submit(const command_arguments& arguments)
{
    return send_job(arguments, job_kind::batch, "/v1/jobs");
}

exit_status request(const command_arguments& arguments)
{
    return send_job(arguments, job_kind::request, "/v1/requests");
}

exit_status status(const command_arguments& arguments)
{
    if (!names_one(arguments))
    {
        return report_usage("status needs one job's id");
    }
    const char* query = absl::GetFlag(FLAGS_why) ? "?why=1" : "";
    return call("GET", job_path(arguments.front()) + query);
}

exit_status cancel(const command_arguments& arguments)
{
    if (!names_one(arguments))
    {
        return report_usage("cancel needs one job's id");
    }
    return call("DELETE", job_path(arguments.front()));
}

exit_status wait(const command_arguments& arguments)
{
    if (!names_one(arguments))
    {
        return report_usage("wait needs one job's id");
    }
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    const milliseconds patience(
        absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_patience)));
    return wait_for_job(**client, arguments.front(), patience);
}

exit_status list(const command_arguments& /*arguments*/)
{
    auto client = client_from_flags();
    if (!client)
    {
        return report(client.error());
    }
    std::string path =
        "/v1/jobs?limit=" + std::to_string(absl::GetFlag(FLAGS_limit));
    if (const auto team = absl::GetFlag(FLAGS_team); !team.empty())
    {
        path += "&team=" + escape_url(team);
    }
    const auto answer = (*client)->call("GET", path);
    if (!answer)
    {
        return report(answer.error());
    }
    print_table(
        answer->value("jobs", json::array()),
        {{"JOB", "job"},
         {"TEAM", "team"},
         {"QUEUE", "queue"},
         {"KIND", "kind"},
         {"QUEUED", "tasks.queued"},
         {"RUNNING", "tasks.running"},
         {"SUCCEEDED", "tasks.succeeded"},
         {"FAILED", "tasks.failed"},
         {"CANCELLED", "cancelled"}});
    return exit_status::done;
}

} // namespace acaciastile::commands
