#include "platform/embedded/task_script.hpp"

#include <nlohmann/json.hpp>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

std::int64_t
number_or(const json& object, const char* name, std::int64_t otherwise)
{
    auto at = object.find(name);
    if (at == object.end() || !at->is_number_integer())
    {
        return otherwise;
    }
    return at->get<std::int64_t>();
}

resources usage_in(const json& object, const resources& declared)
{
    auto at = object.find("usage");
    if (at == object.end() || !at->is_object())
    {
        return declared;
    }
    return {
        number_or(*at, "milli_processors", declared.milli_processors),
        number_or(*at, "memory_mib", declared.memory_mib),
        number_or(*at, "accelerators", declared.accelerators)};
}

std::optional<milliseconds> run_time_of(std::int64_t count)
{
    if (count <= 0)
    {
        return std::nullopt;
    }
    return milliseconds{count};
}

} // namespace

task_script script_of(const start_command& start)
{
    task_script script;
    script.run_time = run_time_of(start.run_time.count());
    script.usage = start.needs;
    script.answer = start.payload;
    if (start.payload.empty() || start.payload.front() != '{')
    {
        return script;
    }
    const json object = json::parse(start.payload, nullptr, false);
    if (!object.is_object())
    {
        return script;
    }
    script.run_time =
        run_time_of(number_or(object, "run_ms", start.run_time.count()));
    script.usage = usage_in(object, start.needs);
    auto fail = object.find("fail");
    script.fails = fail != object.end() && *fail == true;
    auto answer = object.find("answer");
    if (answer != object.end() && answer->is_string())
    {
        script.answer = answer->get<std::string>();
    }
    return script;
}

} // namespace acaciastile
