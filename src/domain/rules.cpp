#include "domain/rules.hpp"

#include <algorithm>
#include <string>

namespace acaciastile
{

namespace
{

template<class Rule, class Name>
const Rule* find_by_name(const std::vector<Rule>& sorted, const Name& name)
{
    auto at = std::lower_bound(
        sorted.begin(),
        sorted.end(),
        name,
        [](const Rule& rule, const Name& wanted)
        { return rule.name < wanted; });
    if (at == sorted.end() || at->name != name)
    {
        return nullptr;
    }
    return &*at;
}

template<class Rule>
result<void> sort_unique(std::vector<Rule>& list, const char* kind)
{
    std::sort(
        list.begin(),
        list.end(),
        [](const Rule& left, const Rule& right)
        { return left.name < right.name; });
    for (std::size_t at = 0; at < list.size(); ++at)
    {
        const std::string& name = list[at].name.str();
        if (name.empty())
        {
            return refuse(
                refusal_code::invalid_value,
                std::string(kind) + " has no name");
        }
        if (at > 0 && list[at - 1].name == list[at].name)
        {
            return refuse(
                refusal_code::invalid_value,
                std::string(kind) + " '" + name + "' is listed twice");
        }
    }
    return {};
}

result<void> check_team(const team_rule& team)
{
    if (team.share == 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "team '" + team.name.str() + "' needs a share of at least 1");
    }
    if (team.upper_limit.has_negative())
    {
        return refuse(
            refusal_code::invalid_value,
            "team '" + team.name.str() + "' has a negative upper limit");
    }
    return {};
}

} // namespace

result<rules>
rules::create(std::vector<team_rule> teams, std::vector<queue_rule> queues)
{
    if (auto sorted = sort_unique(teams, "team"); !sorted)
    {
        return tl::unexpected(sorted.error());
    }
    if (auto sorted = sort_unique(queues, "queue"); !sorted)
    {
        return tl::unexpected(sorted.error());
    }
    rules made;
    made.teams_ = std::move(teams);
    made.queues_ = std::move(queues);
    for (const team_rule& team : made.teams_)
    {
        if (auto checked = check_team(team); !checked)
        {
            return tl::unexpected(checked.error());
        }
    }
    for (const queue_rule& queue : made.queues_)
    {
        std::vector<team_name> named = queue.teams;
        if (queue.open_to_all)
        {
            named.push_back(queue.charged_team);
        }
        for (const team_name& team : named)
        {
            if (made.find(team) == nullptr)
            {
                return refuse(
                    refusal_code::unknown_team,
                    "queue '" + queue.name.str() + "' names unknown team '" +
                        team.str() + "'");
            }
        }
    }
    return made;
}

const team_rule* rules::find(const team_name& name) const noexcept
{
    return find_by_name(teams_, name);
}

const queue_rule* rules::find(const queue_name& name) const noexcept
{
    return find_by_name(queues_, name);
}

} // namespace acaciastile
