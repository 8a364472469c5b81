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
    allowance_planner planned;
    planned.shard_ = std::move(shard);
    planned.epoch_ = epoch;
    planned.settings_ = settings;
    return planned;
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
    allowance_plan planned;
    for (const team_name& team : teams)
    {
        const auto load = loads.find(team);
        const team_round round = make_round(
            now, cell, team, load == loads.end() ? team_load{} : load->second);
        const bool idle = load == loads.end() && round.held.is_zero() &&
                          round.wanted.is_zero() && !teams_.contains(team);
        if (!idle)
        {
            plan_team(round, teams_[team], planned);
        }
    }
    return planned;
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
    round.wanted = cell.allowance_wanted_by(shard_, team);
    round.need = min(load.running + load.demand, round.limit);
    round.rules_revision = cell.rules_revision();
    round.available = excess_over(round.limit, round.sum);
    const resources missing = excess_over(round.need, round.held);
    const resources scarce = excess_over(
        masked(round.others + missing, round.others), round.available);
    round.contended = !scarce.is_zero();
    return round;
}

void allowance_planner::resolve_pending(
    const team_round& round, team_plan& state) const
{
    auto is_finished = [&](const pending_change& change)
    {
        const bool timed_out =
            round.now - change.since >= settings_.unsettled_timeout;
        return round.held == change.amount ||
               (timed_out && !change.outcome_unknown);
    };
    if (state.folded_raise)
    {
        handle_refused_raise(round, state);
    }
    if (state.cut && is_finished(*state.cut))
    {
        state.cut.reset();
    }
    if (state.raise && is_finished(*state.raise))
    {
        state.raise.reset();
    }
    if (state.pending_wanted &&
        (round.wanted == state.pending_wanted->amount ||
         round.now - state.pending_wanted->since > settings_.wanted_timeout))
    {
        state.pending_wanted.reset();
    }
}

/// A raise that was read back but did not change the allowance was refused,
/// because other shards took the free part of the limit first. Each shard
/// retries after a different delay, which becomes shorter with every refusal,
/// so that no shard always comes last.
void allowance_planner::handle_refused_raise(
    const team_round& round, team_plan& state) const
{
    state.raise_refused = round.held != *state.folded_raise;
    state.folded_raise.reset();
    state.refusals = state.raise_refused ? state.refusals + 1 : 0;
    if (state.raise_refused)
    {
        const std::uint64_t spread = impl::hash_name(
            round.team.str(), impl::hash_name(shard_.str(), state.refusals));
        const auto widest =
            static_cast<std::uint64_t>(settings_.retry_spread.count()) /
                state.refusals +
            1;
        state.next_raise_at =
            round.now +
            milliseconds{static_cast<milliseconds::rep>(spread % widest)};
    }
}

void allowance_planner::plan_team(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    resolve_pending(round, state);
    resources& bound = planned.bounds[round.team];
    bound = round.held;
    if (state.cut)
    {
        bound = min(bound, state.cut->amount);
    }
    if (any_above(round.sum, round.limit))
    {
        enforce_lowered_limit(round, state, planned);
        return;
    }
    state.over_limit_since.reset();
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
        release_idle(round, state, planned);
    }
    else
    {
        state.idle_since.reset();
        state.headroom_since.reset();
        state.satisfied_since.reset();
    }
    if (round.contended && !state.cut && !round.load.demand.is_zero())
    {
        started(state.contended_since, round.now);
        shrink_to_fair_share(round, state, planned);
    }
    if (!satisfied && !state.cut)
    {
        request_raise(round, state, planned);
    }
}

void allowance_planner::cut(
    const team_round& round,
    team_plan& state,
    const resources& amount,
    allowance_plan& planned) const
{
    state.cut = pending_change{amount, round.now};
    state.idle_since.reset();
    resources& bound = planned.bounds[round.team];
    bound = min(bound, amount);
    planned.records.emplace_back(
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
        pending->outcome_unknown = true;
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
            state.folded_raise = set->amount;
        }
    }
    if (const auto* wanted = std::get_if<allowance_wanted>(&record))
    {
        settle(teams_[wanted->team].pending_wanted, wanted->amount, effect);
    }
}

} // namespace acaciastile
