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
    auto found = std::lower_bound(
        sorted.begin(),
        sorted.end(),
        name,
        [](const Rule& rule, const Name& wanted)
        { return rule.name < wanted; });
    if (found == sorted.end() || found->name != name)
    {
        return nullptr;
    }
    return &*found;
}

template<class Rule>
result<void> sort_unique(std::vector<Rule>& list, const char* kind)
{
    std::sort(
        list.begin(),
        list.end(),
        [](const Rule& left, const Rule& right)
        { return left.name < right.name; });
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        const std::string& name = list[index].name.str();
        if (name.empty())
        {
            return refuse(
                refusal_code::invalid_value,
                std::string(kind) + " has no name");
        }
        if (index > 0 && list[index - 1].name == list[index].name)
        {
            return refuse(
                refusal_code::invalid_value,
                std::string(kind) + " '" + name + "' is listed more than once");
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
            "team '" + team.name.str() + "' must have a share of at least 1");
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
    rules created;
    created.teams_ = std::move(teams);
    created.queues_ = std::move(queues);
    for (const team_rule& team : created.teams_)
    {
        if (auto checked = check_team(team); !checked)
        {
            return tl::unexpected(checked.error());
        }
    }
    for (const queue_rule& queue : created.queues_)
    {
        std::vector<team_name> required_teams = queue.teams;
        if (queue.open_to_all)
        {
            required_teams.push_back(queue.charged_team);
        }
        for (const team_name& team : required_teams)
        {
            if (created.find(team) == nullptr)
            {
                return refuse(
                    refusal_code::unknown_team,
                    "queue '" + queue.name.str() +
                        "' refers to unknown team '" + team.str() + "'");
            }
        }
    }
    return created;
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
