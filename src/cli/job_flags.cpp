#include "cli/job_flags.hpp"

#include "cli/text_file.hpp"
#include "cli/unit_values.hpp"
#include "codec/enum_names.hpp"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, id, "", "id of the job or request, chosen by you");
ABSL_FLAG(std::string, team, "", "team that it runs for");
ABSL_FLAG(std::string, queue, "", "queue that it waits in");
ABSL_FLAG(std::string, kind, "batch", "batch, service or gang");
ABSL_FLAG(std::string, name, "", "groups runs for learnt estimates");
ABSL_FLAG(std::uint32_t, tasks, 1, "how many tasks");
ABSL_FLAG(double, processors, 1.0, "processors of one task");
ABSL_FLAG(std::string, memory, "256MiB", "memory of one task");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of one task");
ABSL_FLAG(absl::Duration, run_time, absl::ZeroDuration(), "declared run time");
ABSL_FLAG(bool, repeatable, true, "false: runs at most once");
ABSL_FLAG(
    absl::Duration, deadline, absl::ZeroDuration(), "of a request; 0: default");
ABSL_FLAG(std::string, payload, "", "handed to the worker as it is");

namespace acaciastile
{

namespace
{

constexpr double milli = 1'000;
constexpr std::int64_t mebibyte = 1 << 20;

result<resources> each_from_flags()
{
    resources each;
    const auto bytes = parse_size(absl::GetFlag(FLAGS_memory));
    if (!bytes || *bytes % mebibyte != 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "--memory: found '" + absl::GetFlag(FLAGS_memory) +
                "', allowed are whole mebibytes such as 512MiB or 2GiB");
    }
    const double processors = absl::GetFlag(FLAGS_processors);
    if (!(processors > 0 && processors < 1e6))
    {
        return refuse(
            refusal_code::invalid_value,
            "--processors: allowed is a number from 0.001 to 1e6");
    }
    each.milli_processors = std::llround(processors * milli);
    each.memory_mib = *bytes / mebibyte;
    each.accelerators = absl::GetFlag(FLAGS_accelerators);
    return each;
}

result<std::string> body_from_flags(job_kind kind)
{
    const auto each = each_from_flags();
    if (!each)
    {
        return tl::unexpected(each.error());
    }
    const std::string kind_name = kind == job_kind::request
                                      ? std::string(to_string(kind))
                                      : absl::GetFlag(FLAGS_kind);
    nlohmann::json body{
        {"id", absl::GetFlag(FLAGS_id)},
        {"queue", absl::GetFlag(FLAGS_queue)},
        {"kind", kind_name},
        {"tasks", absl::GetFlag(FLAGS_tasks)},
        {"each",
         {{"milli_processors", each->milli_processors},
          {"memory_mib", each->memory_mib},
          {"accelerators", each->accelerators}}},
        {"repeatable", absl::GetFlag(FLAGS_repeatable)},
        {"run_time_ms",
         absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_run_time))},
        {"deadline_ms",
         absl::ToInt64Milliseconds(absl::GetFlag(FLAGS_deadline))},
        {"payload", absl::GetFlag(FLAGS_payload)}};
    if (const auto team = absl::GetFlag(FLAGS_team); !team.empty())
    {
        body["team"] = team;
    }
    if (const auto name = absl::GetFlag(FLAGS_name); !name.empty())
    {
        body["name"] = name;
    }
    return body.dump();
}

} // namespace

result<std::string> job_body(const command_arguments& arguments, job_kind kind)
{
    if (!arguments.empty())
    {
        return read_text_file(arguments.front());
    }
    if (absl::GetFlag(FLAGS_id).empty() || absl::GetFlag(FLAGS_queue).empty())
    {
        return refuse(
            refusal_code::invalid_value,
            "name a file with the job, or --id and --queue");
    }
    return body_from_flags(kind);
}

} // namespace acaciastile
