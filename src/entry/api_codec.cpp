#include "entry/api_codec.hpp"

#include "codec/document_codec.hpp"
#include "entry/job_kind_name.hpp"

namespace acaciastile
{

using nlohmann::json;

namespace
{

json tasks_to_json(const job_status& value)
{
    json counts = json::object();
    for (const auto& [state, name] : task_state_names)
    {
        counts[std::string(name)] =
            value.tasks[static_cast<std::size_t>(state)];
    }
    return counts;
}

json error_to_json(const error& value)
{
    return {
        {"code", to_string(value.code)},
        {"verdict", to_string(value.effect)},
        {"message", value.message}};
}

} // namespace

json to_api_json(const explanation& value)
{
    return {
        {"reason", value.reason},
        {"sentence", value.sentence},
        {"place_in_queue", value.place_in_queue},
        {"workers_that_fit", value.workers_that_fit},
        {"workers_that_could", value.workers_that_could}};
}

json to_api_json(const job_status& value)
{
    json made{
        {"job", value.job.str()},
        {"team", value.team.str()},
        {"queue", value.queue.str()},
        {"kind", name_of(value.kind)},
        {"tasks", tasks_to_json(value)},
        {"cancelled", value.cancelled},
        {"answer", value.answer},
        {"reason", value.reason},
        {"shard", value.shard.str()},
        {"running_on", value.running_on}};
    if (value.why)
    {
        made["why"] = to_api_json(*value.why);
    }
    return made;
}

json to_api_json(const request_answer& value)
{
    return {
        {"job", value.job.str()},
        {"answer", value.answer},
        {"repeated", value.repeated}};
}

json to_api_json(const published& value)
{
    return {{"in_force", value.in_force}};
}

json to_api_json(const granted_key& value)
{
    return {
        {"id", value.entry.id.str()},
        {"team", value.entry.team.str()},
        {"right",
         value.entry.right == key_right::operate ? "operate" : "caller"},
        {"key", value.secret_text}};
}

json to_api_json(const configuration_in_force& value)
{
    json made{
        {"instance", value.instance.str()},
        {"folded", value.folded},
        {"inventory_revision", value.inventory_revision},
        {"rules_revision", value.rules_revision},
        {"log_age_ms", value.log_age.count()}};
    if (value.unreachable)
    {
        made["unreachable"] = error_to_json(*value.unreachable);
    }
    return made;
}

json to_api_json(const team_status& value)
{
    return {
        {"name", value.name.str()},
        {"share", value.share},
        {"upper_limit", to_json(value.upper_limit)},
        {"allowance", to_json(value.allowance)},
        {"running", to_json(value.running)},
        {"waiting", to_json(value.waiting)},
        {"shards_unheard", value.shards_unheard}};
}

json to_api_json(const worker_status& value)
{
    return {
        {"worker", to_json(value.entry)},
        {"shard", value.shard.str()},
        {"state", value.state},
        {"used", to_json(value.used)},
        {"tasks", value.tasks}};
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace acaciastile
