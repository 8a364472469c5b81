#include "entry/request_reader.hpp"

#include "codec/document_codec.hpp"
#include "codec/json_text.hpp"

#include <absl/strings/numbers.h>

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr std::uint32_t most_jobs_listed = 10'000;

tl::unexpected<error> invalid(const std::string& message)
{
    return refuse(refusal_code::invalid_value, message);
}

result<json> read_object(const std::string& body)
{
    auto parsed = parse_json_text(body);
    if (parsed && !parsed->is_object())
    {
        return invalid("the body must be a JSON object");
    }
    return parsed;
}

/// Errors: a field that is not among the known ones.
result<void>
check_fields(const json& object, const std::vector<std::string_view>& known)
{
    for (const auto& [name, value] : object.items())
    {
        if (std::find(known.begin(), known.end(), name) == known.end())
        {
            return invalid("unknown field '" + name + "'");
        }
    }
    return {};
}

result<key_right> read_right(const json& value)
{
    if (value == "caller")
    {
        return key_right::caller;
    }
    if (value == "operate")
    {
        return key_right::operate;
    }
    return invalid("'right' must be 'caller' or 'operate'");
}

result<std::vector<worker_id>> read_worker_ids(const json& object)
{
    const auto at = object.find("workers");
    if (at == object.end() || !at->is_array() || at->empty())
    {
        return invalid("'workers' must be a list of ids that is not empty");
    }
    std::vector<worker_id> ids;
    for (const json& each : *at)
    {
        if (!each.is_string())
        {
            return invalid("'workers' must hold ids as texts");
        }
        ids.emplace_back(each.get<std::string>());
    }
    return ids;
}

} // namespace

result<job_spec> read_job(const std::string& body)
{
    auto spec = parse_job_spec(body);
    if (spec && spec->kind == job_kind::request)
    {
        return invalid("a request with an answer goes to POST /v1/requests");
    }
    return spec;
}

result<job_spec> read_request_spec(const std::string& body)
{
    auto object = read_object(body);
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    if (!object->contains("kind"))
    {
        (*object)["kind"] = "request";
    }
    auto spec = job_spec_from_json(*object);
    if (spec && spec->kind != job_kind::request)
    {
        return invalid("'kind' must be 'request'; jobs go to POST /v1/jobs");
    }
    return spec;
}

result<key_wish> read_key_wish(const std::string& body)
{
    auto object = read_object(body);
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    if (auto known = check_fields(*object, {"team", "right"}); !known)
    {
        return tl::unexpected(known.error());
    }
    auto right = read_right(object->value("right", json("caller")));
    if (!right)
    {
        return tl::unexpected(right.error());
    }
    const json team = object->value("team", json(""));
    if (!team.is_string())
    {
        return invalid("'team' must be a text");
    }
    key_wish wish{team_name(team.get<std::string>()), *right};
    if (wish.team.empty() != (wish.right == key_right::operate))
    {
        return invalid("a caller's key needs a 'team', an operator's none");
    }
    return wish;
}

result<worker_choice> read_workers(const std::string& body)
{
    auto object = read_object(body);
    if (!object)
    {
        return tl::unexpected(object.error());
    }
    if (auto known = check_fields(*object, {"workers", "draining"}); !known)
    {
        return tl::unexpected(known.error());
    }
    auto ids = read_worker_ids(*object);
    if (!ids)
    {
        return tl::unexpected(ids.error());
    }
    const json draining = object->value("draining", json(true));
    if (!draining.is_boolean())
    {
        return invalid("'draining' must be true or false");
    }
    return worker_choice{*std::move(ids), draining.get<bool>()};
}

result<revision> read_base(const api_request& call)
{
    const std::string text = call.variable("base");
    revision base = 0;
    if (!absl::SimpleAtoi(text, &base))
    {
        return invalid("'?base=N' must name the revision that is replaced");
    }
    return base;
}

result<job_filter> read_filter(const api_request& call)
{
    job_filter filter;
    filter.team = team_name(call.variable("team"));
    const std::string limit = call.variable("limit");
    if (!limit.empty() &&
        (!absl::SimpleAtoi(limit, &filter.limit) || filter.limit == 0 ||
         filter.limit > most_jobs_listed))
    {
        return invalid("'limit' must be a number from 1 to 10000");
    }
    return filter;
}

result<bool> read_flag(const api_request& call, const std::string& name)
{
    const std::string text = call.variable(name);
    if (text.empty() || text == "0" || text == "false")
    {
        return false;
    }
    if (text == "1" || text == "true")
    {
        return true;
    }
    return invalid("'" + name + "' must be 1 or 0");
}

} // namespace acaciastile
