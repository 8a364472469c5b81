#include "cell/peer_codec.hpp"

#include "codec/document_codec.hpp"
#include "codec/enum_names.hpp"
#include "codec/field_reader.hpp"

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

/// Returns the value read, or the error of the reader.
template<class Value>
result<Value> finished(const field_reader& reader, Value value)
{
    if (auto checked = reader.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return value;
}

result<explanation>
explanation_from_json(const json& value, const std::string& path)
{
    explanation why;
    field_reader reader(value, path);
    reader.require("reason", why.reason)
        .require("sentence", why.sentence)
        .optional("place_in_queue", why.place_in_queue)
        .optional("workers_that_fit", why.workers_that_fit)
        .optional("workers_that_could", why.workers_that_could);
    return finished(reader, std::move(why));
}

using task_counts = std::array<std::uint32_t, task_state_names.size()>;

json counts_to_json(const task_counts& counts)
{
    json object = json::object();
    for (const auto& [state, name] : task_state_names)
    {
        object[std::string(name)] = counts[static_cast<std::size_t>(state)];
    }
    return object;
}

result<task_counts> counts_from_json(const json& value, const std::string& path)
{
    task_counts counts{};
    field_reader reader(value, path);
    for (const auto& [state, name] : task_state_names)
    {
        reader.optional(name, counts[static_cast<std::size_t>(state)]);
    }
    return finished(reader, counts);
}

} // namespace

json to_json(const explanation& value)
{
    return {
        {"reason", value.reason},
        {"sentence", value.sentence},
        {"place_in_queue", value.place_in_queue},
        {"workers_that_fit", value.workers_that_fit},
        {"workers_that_could", value.workers_that_could}};
}

json to_json(const job_status& value)
{
    json object{
        {"job", value.job.str()},
        {"team", value.team.str()},
        {"queue", value.queue.str()},
        {"kind", to_string(value.kind)},
        {"tasks", counts_to_json(value.tasks)},
        {"cancelled", value.cancelled},
        {"answer", value.answer},
        {"reason", value.reason},
        {"shard", value.shard.str()},
        {"running_on", value.running_on}};
    if (value.why)
    {
        object["why"] = to_json(*value.why);
    }
    return object;
}

result<job_status>
job_status_from_json(const json& value, const std::string& path)
{
    job_status status;
    explanation why;
    field_reader reader(value, path);
    reader.require("job", status.job)
        .require("team", status.team)
        .require("queue", status.queue)
        .require_enum("kind", status.kind, job_kind_names)
        .require("tasks", status.tasks, counts_from_json)
        .optional("cancelled", status.cancelled)
        .optional("answer", status.answer)
        .optional("reason", status.reason)
        .optional("shard", status.shard)
        .optional_list("running_on", status.running_on)
        .optional("why", why, explanation_from_json);
    if (!why.reason.empty())
    {
        status.why = std::move(why);
    }
    return finished(reader, std::move(status));
}

json to_json(const request_answer& value)
{
    return {
        {"job", value.job.str()},
        {"answer", value.answer},
        {"repeated", value.repeated}};
}

result<request_answer>
request_answer_from_json(const json& value, const std::string& path)
{
    request_answer answer;
    field_reader reader(value, path);
    reader.require("job", answer.job)
        .require("answer", answer.answer)
        .optional("repeated", answer.repeated);
    return finished(reader, std::move(answer));
}

json to_json(const configuration_in_force& value)
{
    json object{
        {"instance", value.instance.str()},
        {"folded", value.folded},
        {"inventory_revision", value.inventory_revision},
        {"rules_revision", value.rules_revision},
        {"log_age_ms", value.log_age.count()}};
    if (value.unreachable)
    {
        object["unreachable"] = to_json(*value.unreachable);
    }
    return object;
}

result<configuration_in_force>
configuration_from_json(const json& value, const std::string& path)
{
    configuration_in_force told;
    field_reader reader(value, path);
    reader.require("instance", told.instance)
        .require("folded", told.folded)
        .require("inventory_revision", told.inventory_revision)
        .require("rules_revision", told.rules_revision)
        .require("log_age_ms", told.log_age);
    return finished(reader, std::move(told));
}

json to_json(const worker_status& value)
{
    return {
        {"worker", to_json(value.entry)},
        {"shard", value.shard.str()},
        {"state", value.state},
        {"used", to_json(value.used)},
        {"tasks", value.tasks}};
}

result<worker_status>
worker_status_from_json(const json& value, const std::string& path)
{
    worker_status status;
    field_reader reader(value, path);
    reader.require("worker", status.entry, worker_entry_from_json)
        .require("shard", status.shard)
        .require("state", status.state)
        .require("used", status.used, resources_from_json)
        .require("tasks", status.tasks);
    return finished(reader, std::move(status));
}

json to_json(const team_status& value)
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

json to_json(const shard_team_load& value)
{
    return {
        {"shard", value.shard.str()},
        {"team", value.team.str()},
        {"running", to_json(value.load.running)},
        {"demand", to_json(value.load.demand)}};
}

result<shard_team_load>
shard_team_load_from_json(const json& value, const std::string& path)
{
    shard_team_load told;
    field_reader reader(value, path);
    reader.require("shard", told.shard)
        .require("team", told.team)
        .require("running", told.load.running, resources_from_json)
        .require("demand", told.load.demand, resources_from_json);
    return finished(reader, std::move(told));
}

} // namespace acaciastile
