#include "entry/api_codec.hpp"

#include "cell/peer_codec.hpp"

namespace acaciastile
{

using nlohmann::json;

json to_api_json(const explanation& value)
{
    return to_json(value);
}

json to_api_json(const job_status& value)
{
    return to_json(value);
}

json to_api_json(const request_answer& value)
{
    return to_json(value);
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
    return to_json(value);
}

json to_api_json(const team_status& value)
{
    return to_json(value);
}

json to_api_json(const worker_status& value)
{
    return to_json(value);
}

std::string write_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace acaciastile
