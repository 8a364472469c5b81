#include "cell/allowance_planner.hpp"

#include "cell/rendezvous.hpp"
#include "cell/resource_split.hpp"
#include "cell/stopwatch.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace acaciastile
{

namespace
{

using impl::any_above;
using impl::excess_over;
using impl::masked;
using impl::started;

} // namespace

allowance_planner allowance_planner::create(
    shard_id shard, shard_epoch epoch, allowance_settings settings)
{
    allowance_planner made;
    made.shard_ = std::move(shard);
    made.epoch_ = epoch;
    made.settings_ = settings;
    return made;
}

allowance_plan allowance_planner::plan(
    instant now,
    const cell_state& cell,
    const std::map<team_name, team_load>& loads)
{
    std::set<team_name> teams;
    for (const team_rule& rule : cell.rules_in_force().teams())
    {
        teams.insert(rule.name);
    }
    for (const auto& [team, load] : loads)
    {
        teams.insert(team);
    }
    for (const auto& [team, state] : teams_)
    {
        teams.insert(team);
    }
    allowance_plan made;
    for (const team_name& team : teams)
    {
        const auto load = loads.find(team);
        const team_round round = make_round(
            now, cell, team, load == loads.end() ? team_load{} : load->second);
        const bool idle = load == loads.end() && round.held.is_zero() &&
                          round.wished.is_zero() && !teams_.contains(team);
        if (!idle)
        {
            plan_team(round, teams_[team], made);
        }
    }
    return made;
}

allowance_planner::team_round allowance_planner::make_round(
    instant now,
    const cell_state& cell,
    const team_name& team,
    const team_load& load) const
{
    team_round round;
    round.now = now;
    round.team = team;
    round.load = load;
    const team_rule* rule = cell.rules_in_force().find(team);
    round.limit = rule == nullptr ? resources{} : rule->upper_limit;
    round.held = cell.allowance(shard_, team);
    round.sum = cell.allowance_sum(team);
    round.others = cell.wanted_by_others(shard_, team);
    round.wished = cell.allowance_wanted_by(shard_, team);
    round.need = min(load.running + load.demand, round.limit);
    round.rules_revision = cell.rules_revision();
    round.room = excess_over(round.limit, round.sum);
    const resources missing = excess_over(round.need, round.held);
    const resources scarce =
        excess_over(masked(round.others + missing, round.others), round.room);
    round.contended = !scarce.is_zero();
    return round;
}

void allowance_planner::resolve_pending(
    const team_round& round, team_plan& state) const
{
    auto is_over = [&](const pending_change& change)
    {
        const bool lapsed =
            round.now - change.since >= settings_.unsettled_patience;
        return round.held == change.amount || (lapsed && !change.unclear);
    };
    if (state.raise_read)
    {
        note_refusal(round, state);
    }
    if (state.cut && is_over(*state.cut))
    {
        state.cut.reset();
    }
    if (state.raise && is_over(*state.raise))
    {
        state.raise.reset();
    }
    if (state.wish && (round.wished == state.wish->amount ||
                       round.now - state.wish->since > settings_.wish_patience))
    {
        state.wish.reset();
    }
}

/// A raise that was read and did not change the allowance was refused: other
/// shards took the room. Shards then try again at unlike times, the sooner the
/// more often they were refused, so that none is always late.
void allowance_planner::note_refusal(
    const team_round& round, team_plan& state) const
{
    state.raise_refused = round.held != *state.raise_read;
    state.raise_read.reset();
    state.refusals = state.raise_refused ? state.refusals + 1 : 0;
    if (state.raise_refused)
    {
        const std::uint64_t spread = impl::hash_name(
            round.team.str(), impl::hash_name(shard_.str(), state.refusals));
        const auto widest =
            static_cast<std::uint64_t>(settings_.retry_spread.count()) /
                state.refusals +
            1;
        state.yield_until =
            round.now +
            milliseconds{static_cast<milliseconds::rep>(spread % widest)};
    }
}

void allowance_planner::plan_team(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    resolve_pending(round, state);
    resources& bound = made.bounds[round.team];
    bound = round.held;
    if (state.cut)
    {
        bound = min(bound, state.cut->amount);
    }
    if (any_above(round.sum, round.limit))
    {
        follow_lowered_limit(round, state, made);
        return;
    }
    state.over_since.reset();
    if (state.cut || state.raise)
    {
        return;
    }
    if (!round.contended)
    {
        state.contended_since.reset();
    }
    const bool satisfied = round.need.fits_in(round.held);
    if (satisfied)
    {
        give_back(round, state, made);
    }
    else
    {
        state.idle_since.reset();
        state.margin_since.reset();
        state.satisfied_since.reset();
    }
    if (round.contended && !state.cut && !round.load.demand.is_zero())
    {
        started(state.contended_since, round.now);
        share_when_busy(round, state, made);
    }
    if (!satisfied && !state.cut)
    {
        ask_for_more(round, state, made);
    }
}

void allowance_planner::cut(
    const team_round& round,
    team_plan& state,
    const resources& amount,
    allowance_plan& made) const
{
    state.cut = pending_change{amount, round.now};
    state.idle_since.reset();
    resources& bound = made.bounds[round.team];
    bound = min(bound, amount);
    made.records.emplace_back(
        allowance_set{shard_, epoch_, round.team, amount});
}

void allowance_planner::settle(
    std::optional<pending_change>& pending,
    const resources& amount,
    verdict effect)
{
    if (!pending || pending->amount != amount)
    {
        return;
    }
    if (effect == verdict::may_have_run)
    {
        pending->unclear = true;
        return;
    }
    pending.reset();
}

void allowance_planner::settled(const cell_change& record, verdict effect)
{
    if (const auto* set = std::get_if<allowance_set>(&record))
    {
        team_plan& state = teams_[set->team];
        settle(state.cut, set->amount, effect);
        const bool raised = state.raise.has_value();
        settle(state.raise, set->amount, effect);
        if (raised && !state.raise && effect == verdict::ran)
        {
            state.raise_read = set->amount;
        }
    }
    if (const auto* wanted = std::get_if<allowance_wanted>(&record))
    {
        settle(teams_[wanted->team].wish, wanted->amount, effect);
    }
}

} // namespace acaciastile
