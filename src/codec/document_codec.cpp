#include "codec/document_codec.hpp"

#include "codec/enum_names.hpp"
#include "codec/field_reader.hpp"
#include "codec/json_text.hpp"

#include <utility>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

constexpr std::uint32_t max_attempts_per_task = 1'000;

bool is_valid_amount(std::int64_t value)
{
    return value >= 0 && value <= max_resource_amount;
}

bool is_valid_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes;
}

result<team_name> read_team_name(const json& value, const std::string& path)
{
    team_name name;
    if (impl::get(value, name) != nullptr || !is_valid_name(name.str()))
    {
        return refuse(
            refusal_code::invalid_value, path + ": expected a team name");
    }
    return name;
}

json names_to_json(const std::vector<team_name>& names)
{
    json list = json::array();
    for (const team_name& name : names)
    {
        list.push_back(name.str());
    }
    return list;
}

template<class Value>
json list_to_json(const std::vector<Value>& values)
{
    json list = json::array();
    for (const Value& value : values)
    {
        list.push_back(to_json(value));
    }
    return list;
}

template<class Value>
result<Value> parse_and_decode(
    std::string_view text,
    result<Value> (*read)(const json&, const std::string&))
{
    result<json> parsed = parse_json_text(text);
    if (!parsed)
    {
        return tl::unexpected(std::move(parsed.error()));
    }
    return read(*parsed, "");
}

result<source_position> read_position(const json& value, std::string path)
{
    source_position position;
    field_reader fields(value, std::move(path));
    fields.optional("file", position.file)
        .optional("line", position.line)
        .optional("column", position.column);
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return position;
}

json position_to_json(const source_position& position)
{
    return {
        {"file", position.file},
        {"line", position.line},
        {"column", position.column}};
}

} // namespace

json to_json(const resources& value)
{
    return {
        {"milli_processors", value.milli_processors},
        {"memory_mib", value.memory_mib},
        {"accelerators", value.accelerators}};
}

json to_json(const worker_entry& value)
{
    return {
        {"id", value.id.str()},
        {"data_centre", value.data_centre.str()},
        {"rack", value.rack.str()},
        {"address", value.address},
        {"capacity", to_json(value.capacity)}};
}

json to_json(const inventory& value)
{
    return {{"workers", list_to_json(value.workers())}};
}

json to_json(const team_rule& value)
{
    return {
        {"name", value.name.str()},
        {"share", value.share},
        {"upper_limit", to_json(value.upper_limit)}};
}

json to_json(const queue_rule& value)
{
    return {
        {"name", value.name.str()},
        {"policy", to_string(value.policy)},
        {"open_to_all", value.open_to_all},
        {"teams", names_to_json(value.teams)},
        {"charged_team", value.charged_team.str()},
        {"queue_bound", value.queue_bound},
        {"preemptible", value.preemptible},
        {"oversubscribe", value.oversubscribe}};
}

json to_json(const rules& value)
{
    return {
        {"teams", list_to_json(value.teams())},
        {"queues", list_to_json(value.queues())}};
}

json to_json(const key_entry& value)
{
    return {
        {"id", value.id.str()},
        {"team", value.team.str()},
        {"right", to_string(value.right)},
        {"salt_hex", value.salt_hex},
        {"hash_hex", value.hash_hex}};
}

json to_json(const job_spec& value)
{
    return {
        {"id", value.id.str()},
        {"team", value.team.str()},
        {"queue", value.queue.str()},
        {"kind", to_string(value.kind)},
        {"name", value.name},
        {"tasks", value.tasks},
        {"each", to_json(value.each)},
        {"run_time_ms", value.run_time.count()},
        {"repeatable", value.repeatable},
        {"max_attempts", value.max_attempts},
        {"deadline_ms", value.deadline.count()},
        {"payload", value.payload}};
}

json to_json(const error& value)
{
    json encoded = {
        {"code", to_string(value.code)},
        {"verdict", to_string(value.effect)},
        {"message", value.message}};
    if (value.position != source_position{})
    {
        encoded["position"] = position_to_json(value.position);
    }
    return encoded;
}

result<resources>
resources_from_json(const json& value, const std::string& path)
{
    constexpr std::string_view expected = "an amount from 0 to 10^12";
    resources decoded;
    field_reader fields(value, path);
    fields.require("milli_processors", decoded.milli_processors)
        .require("memory_mib", decoded.memory_mib)
        .optional("accelerators", decoded.accelerators)
        .check(
            is_valid_amount(decoded.milli_processors),
            "milli_processors",
            expected)
        .check(is_valid_amount(decoded.memory_mib), "memory_mib", expected)
        .check(is_valid_amount(decoded.accelerators), "accelerators", expected);
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<worker_entry>
worker_entry_from_json(const json& value, const std::string& path)
{
    worker_entry decoded;
    field_reader fields(value, path);
    fields.require("id", decoded.id)
        .require("data_centre", decoded.data_centre)
        .require("rack", decoded.rack)
        .require("address", decoded.address)
        .require("capacity", decoded.capacity, resources_from_json)
        .check(
            is_valid_name(decoded.id.str()), "id", "a name of 1 to 256 bytes");
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<inventory>
inventory_from_json(const json& value, const std::string& path)
{
    std::vector<worker_entry> workers;
    field_reader fields(value, path);
    fields.require_list("workers", workers, worker_entry_from_json);
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return inventory::create(std::move(workers));
}

result<team_rule>
team_rule_from_json(const json& value, const std::string& path)
{
    team_rule decoded;
    field_reader fields(value, path);
    fields.require("name", decoded.name)
        .optional("share", decoded.share)
        .require("upper_limit", decoded.upper_limit, resources_from_json)
        .check(
            is_valid_name(decoded.name.str()),
            "name",
            "a name of 1 to 256 bytes")
        .check(decoded.share > 0, "share", "an integer of at least 1");
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<queue_rule>
queue_rule_from_json(const json& value, const std::string& path)
{
    queue_rule decoded;
    field_reader fields(value, path);
    fields.require("name", decoded.name)
        .require_enum("policy", decoded.policy, work_class_names)
        .optional("open_to_all", decoded.open_to_all)
        .optional_list("teams", decoded.teams, read_team_name)
        .optional("charged_team", decoded.charged_team)
        .optional("queue_bound", decoded.queue_bound)
        .optional("preemptible", decoded.preemptible)
        .optional("oversubscribe", decoded.oversubscribe)
        .check(
            is_valid_name(decoded.name.str()),
            "name",
            "a name of 1 to 256 bytes");
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<rules> rules_from_json(const json& value, const std::string& path)
{
    std::vector<team_rule> teams;
    std::vector<queue_rule> queues;
    field_reader fields(value, path);
    fields.require_list("teams", teams, team_rule_from_json)
        .require_list("queues", queues, queue_rule_from_json);
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return rules::create(std::move(teams), std::move(queues));
}

result<key_entry>
key_entry_from_json(const json& value, const std::string& path)
{
    key_entry decoded;
    field_reader fields(value, path);
    fields.require("id", decoded.id)
        .optional("team", decoded.team)
        .optional_enum("right", decoded.right, key_right_names)
        .require("salt_hex", decoded.salt_hex)
        .require("hash_hex", decoded.hash_hex)
        .check(
            is_valid_name(decoded.id.str()), "id", "a name of 1 to 256 bytes");
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<job_spec> job_spec_from_json(const json& value, const std::string& path)
{
    job_spec decoded;
    field_reader fields(value, path);
    fields.require("id", decoded.id)
        .optional("team", decoded.team)
        .require("queue", decoded.queue)
        .optional_enum("kind", decoded.kind, job_kind_names)
        .optional("name", decoded.name)
        .optional("tasks", decoded.tasks)
        .require("each", decoded.each, resources_from_json)
        .optional("run_time_ms", decoded.run_time)
        .optional("repeatable", decoded.repeatable)
        .optional("max_attempts", decoded.max_attempts)
        .optional("deadline_ms", decoded.deadline)
        .optional("payload", decoded.payload)
        .check(
            is_valid_name(decoded.id.str()), "id", "a name of 1 to 256 bytes")
        .check(
            decoded.name.size() <= max_name_bytes, "name", "at most 256 bytes")
        .check(
            decoded.tasks > 0 && decoded.tasks <= max_tasks_per_job,
            "tasks",
            "an integer from 1 to 1000000")
        .check(
            decoded.max_attempts > 0 &&
                decoded.max_attempts <= max_attempts_per_task,
            "max_attempts",
            "an integer from 1 to 1000");
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<error> error_from_json(const json& value, const std::string& path)
{
    error decoded;
    field_reader fields(value, path);
    fields.require_enum("code", decoded.code, refusal_code_names)
        .require_enum("verdict", decoded.effect, verdict_names)
        .optional("message", decoded.message)
        .optional("position", decoded.position, read_position);
    if (auto checked = fields.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<inventory> parse_inventory(std::string_view text)
{
    return parse_and_decode(text, inventory_from_json);
}

result<rules> parse_rules(std::string_view text)
{
    return parse_and_decode(text, rules_from_json);
}

result<job_spec> parse_job_spec(std::string_view text)
{
    return parse_and_decode(text, job_spec_from_json);
}

result<key_entry> parse_key_entry(std::string_view text)
{
    return parse_and_decode(text, key_entry_from_json);
}

result<error> parse_error(std::string_view text)
{
    return parse_and_decode(text, error_from_json);
}

std::string to_json_text(const inventory& value)
{
    return to_json_text(to_json(value));
}

std::string to_json_text(const rules& value)
{
    return to_json_text(to_json(value));
}

std::string to_json_text(const job_spec& value)
{
    return to_json_text(to_json(value));
}

std::string to_json_text(const key_entry& value)
{
    return to_json_text(to_json(value));
}

std::string to_json_text(const error& value)
{
    return to_json_text(to_json(value));
}

} // namespace acaciastile
