#include "policy/team_ledger.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

double fraction(std::int64_t used, std::int64_t total)
{
    if (total <= 0)
    {
        return 0.0;
    }
    return static_cast<double>(used) / static_cast<double>(total);
}

} // namespace

void team_ledger::set_shares(const rules& in_force)
{
    for (team_account& account : accounts_)
    {
        account.share = 1;
    }
    for (const team_rule& rule : in_force.teams())
    {
        at(open(rule.name)).share = rule.share;
    }
}

void team_ledger::set_allowance(const team_name& team, const resources& amount)
{
    at(open(team)).allowance = amount;
}

team_slot team_ledger::open(const team_name& team)
{
    auto fresh = static_cast<team_slot>(accounts_.size());
    auto [at, added] = by_name_.try_emplace(team, fresh);
    if (added)
    {
        accounts_.push_back({team, 1, {}, {}, {}, {}});
    }
    return at->second;
}

team_slot team_ledger::find(const team_name& team) const
{
    auto at = by_name_.find(team);
    return at == by_name_.end() ? no_slot : at->second;
}

double team_ledger::dominant_share(team_slot slot, const resources& total) const
{
    const team_account& account = accounts_[slot];
    double largest = std::max(
        {fraction(account.charged.milli_processors, total.milli_processors),
         fraction(account.charged.memory_mib, total.memory_mib),
         fraction(account.charged.accelerators, total.accelerators)});
    return largest / static_cast<double>(account.share);
}

} // namespace acaciastile::impl
