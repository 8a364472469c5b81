#include "cli/config/config_difference.hpp"

#include <map>
#include <utility>

namespace acaciastile
{

using json = nlohmann::json;

namespace
{

using named_entries = std::map<std::string, const json*>;

named_entries entries_of(const json& document, const std::string& list)
{
    const char* key = list == "workers" ? "id" : "name";
    named_entries found;
    for (const json& each : document.at(list))
    {
        found.emplace(each.at(key).get<std::string>(), &each);
    }
    return found;
}

void compare_fields(
    const config_difference& entry,
    const std::string& prefix,
    const json& before,
    const json& after,
    std::vector<config_difference>& to)
{
    for (const auto& [name, value] : before.items())
    {
        const json& other = after.at(name);
        if (value == other)
        {
            continue;
        }
        if (value.is_object())
        {
            compare_fields(entry, prefix + name + ".", value, other, to);
            continue;
        }
        config_difference found = entry;
        found.field = prefix + name;
        found.before = value;
        found.after = other;
        to.push_back(std::move(found));
    }
}

void compare_lists(
    const std::string& list,
    const named_entries& before,
    const named_entries& after,
    std::vector<config_difference>& to)
{
    named_entries all = before;
    all.insert(after.begin(), after.end());
    for (const auto& [name, entry] : all)
    {
        const auto old = before.find(name);
        const auto present = after.find(name);
        if (old == before.end())
        {
            to.push_back({"added", list, name, "", nullptr, *entry});
        }
        else if (present == after.end())
        {
            to.push_back({"removed", list, name, "", *entry, nullptr});
        }
        else
        {
            compare_fields(
                {"changed", list, name, "", nullptr, nullptr},
                "",
                *old->second,
                *present->second,
                to);
        }
    }
}

} // namespace

std::vector<config_difference>
compare_configs(const json& before, const json& after)
{
    std::vector<config_difference> found;
    for (const char* list : {"workers", "teams", "queues"})
    {
        if (before.contains(list) && after.contains(list))
        {
            compare_lists(
                list, entries_of(before, list), entries_of(after, list), found);
        }
    }
    return found;
}

} // namespace acaciastile
