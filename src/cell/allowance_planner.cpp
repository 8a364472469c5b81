#include "cell/allowance_planner.hpp"

#include "cell/rendezvous.hpp"
#include "cell/resource_split.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

namespace acaciastile
{

namespace
{

using impl::any_above;
using impl::cut_to_part;
using impl::excess_over;
using impl::fair_part;
using impl::fitting_factor;
using impl::masked;
using impl::scaled;
using impl::times_within;

/// A raise goes at least to this part of the limit, so that small demands
/// need one record; beyond it the allowance doubles.
constexpr std::int64_t first_raise_divisor = 8;

/// A busy shard yields where it holds more than this multiple of its part.
constexpr double fair_tolerance = 1.125;

/// Allowances that are idle for long are given back while less than this part
/// of the limit is free, so that a new demand finds room at once.
constexpr std::int64_t reserve_divisor = 8;

/// Less idle than this part of what others want is given back later.
constexpr std::int64_t small_idle_divisor = 8;
constexpr int small_idle_patience = 4;

/// The margin beyond the need is given back too where others have waited for
/// this many times the idle time.
constexpr int margin_patience = 4;

/// A busy shard gives its surplus back in at most this many records.
constexpr std::int64_t shrink_steps = 4;

resources divided(const resources& amount, std::int64_t divisor)
{
    return {
        amount.milli_processors / divisor,
        amount.memory_mib / divisor,
        amount.accelerators / divisor};
}

/// Differs enough for a wish to be written again.
bool differs_by_half(const resources& left, const resources& right)
{
    return any_above(left, right * 2) || any_above(right, left * 2);
}

/// The number of tasks whose sum is nearest to the amount.
std::int64_t nearest_tasks(const resources& task, const resources& amount)
{
    return times_within(task, amount + divided(task, 2));
}

/// Starts a stopwatch that is not running yet.
instant started(std::optional<instant>& since, instant now)
{
    if (!since)
    {
        since = now;
    }
    return *since;
}

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

/// Cuts every shard's bound in proportion, at once and once for a revision of
/// the rules: shards that can cut early are not made to cut for the late ones.
/// Only where the sum stays above the limit for long, as when the owner of an
/// allowance is dead, the cut is repeated.
void allowance_planner::set_over_target(
    const team_round& round, team_plan& state) const
{
    const bool is_new =
        !state.over_since || state.target_revision != round.rules_revision;
    const bool again = state.target_since && round.now - *state.target_since >=
                                                 settings_.lowered_grace * 3;
    if (is_new || again)
    {
        const resources target =
            cut_to_part(round.held, round.limit, round.sum);
        state.over_target = is_new ? target : min(state.over_target, target);
        state.target_since = round.now;
        state.target_revision = round.rules_revision;
    }
    if (is_new)
    {
        state.over_since = round.now;
    }
}

void allowance_planner::follow_lowered_limit(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    set_over_target(round, state);
    resources& bound = made.bounds[round.team];
    bound = min(bound, state.over_target);
    if (round.load.running.fits_in(bound))
    {
        if (!state.cut && !state.raise && bound != round.held)
        {
            cut(round, state, bound, made);
        }
        return;
    }
    if (round.now - *state.over_since >= settings_.lowered_grace)
    {
        made.excess[round.team] = excess_over(round.load.running, bound);
    }
}

/// Withdraws a wish that is satisfied, and cuts what is idle here where
/// others want it.
void allowance_planner::give_back(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    const instant satisfied = started(state.satisfied_since, round.now);
    if (round.now - satisfied >= settings_.idle_after)
    {
        wish(round, state, made);
    }
    if (!round.contended || round.need == round.held)
    {
        state.margin_since.reset();
    }
    const bool with_margin =
        !round.contended || round.now - started(state.margin_since, round.now) <
                                settings_.idle_after * margin_patience;
    const resources kept = with_margin ? with_headroom(round.need) : round.need;
    const resources idle = excess_over(round.held, kept);
    const resources short_of =
        round.contended
            ? excess_over(round.others, round.room)
            : excess_over(divided(round.limit, reserve_divisor), round.room);
    const resources surplus = min(idle, short_of);
    if (surplus.is_zero())
    {
        state.idle_since.reset();
        return;
    }
    if (round.now - started(state.idle_since, round.now) >=
        idle_wait(round, surplus))
    {
        cut(round, state, round.held - surplus, made);
    }
}

/// How long an allowance is idle before it is given back. Shards wait unlike
/// times, those that can give little longer, so that one shortage is not
/// met by all of them at once.
milliseconds allowance_planner::idle_wait(
    const team_round& round, const resources& surplus) const
{
    const std::uint64_t spread =
        impl::hash_name(round.team.str(), impl::hash_name(shard_.str(), 0)) %
        1'000;
    const milliseconds least =
        round.contended ? settings_.idle_after : settings_.reserve_after;
    const resources small = divided(round.others, small_idle_divisor);
    const bool is_small =
        masked(surplus, round.others).fits_in(small) || !round.contended;
    const int widest = is_small ? small_idle_patience : 1;
    return least + least * widest * static_cast<std::int64_t>(spread) / 1'000;
}

/// Shrinks towards the fair part of the limit as tasks end, where others
/// wait too. Of less than one task's worth everyone gets a turn.
void allowance_planner::share_when_busy(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    const resources fair = fair_amount(round);
    const resources allowed = scaled(fair, fair_tolerance);
    if (masked(round.held, round.others).fits_in(allowed))
    {
        return;
    }
    resources target = round.held;
    if (any_above(round.load.largest, fair))
    {
        const bool one_task = round.held.fits_in(round.load.largest * 2);
        const milliseconds held_for = round.now - *state.contended_since;
        if (one_task && held_for < settings_.turn)
        {
            return;
        }
        target = one_task ? resources{} : round.load.largest;
    }
    else
    {
        const resources& task = round.load.largest;
        target = task.is_zero() ? fair : task * nearest_tasks(task, fair);
    }
    // Kinds that nobody else waits for are kept.
    const resources kept = round.held - masked(round.held, round.others);
    target = min(round.held, masked(target, round.others) + kept);
    made.bounds[round.team] = min(made.bounds[round.team], target);
    const resources step = divided(round.held - target, shrink_steps);
    const resources next = min(round.held, max(target, round.load.running));
    const bool worth = next == target || !(round.held - next).fits_in(step);
    if (next != round.held && worth)
    {
        cut(round, state, next, made);
        state.yield_until = round.now + settings_.yield;
        if (target.is_zero() || next == target)
        {
            state.contended_since.reset();
        }
    }
}

void allowance_planner::ask_for_more(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    const bool has_room =
        !round.room.is_zero() && round.load.largest.fits_in(round.room);
    if (!has_room)
    {
        state.room_since.reset();
    }
    const bool room_is_left =
        has_room && round.now - started(state.room_since, round.now) >=
                        settings_.left_after;
    const resources amount = raised_amount(round, room_is_left);
    const bool waits = round.contended && round.now < state.yield_until;
    if (!waits && amount != round.held)
    {
        state.raise = pending_change{amount, round.now};
        made.records.emplace_back(
            allowance_set{shard_, epoch_, round.team, amount});
    }
    const resources missing = excess_over(round.need, round.held);
    if (any_above(missing, round.room) || !round.wished.is_zero() ||
        state.raise_refused)
    {
        wish(round, state, made);
    }
}

/// Writes what is missing here, where that differs enough from the wish in
/// the log.
void allowance_planner::wish(
    const team_round& round, team_plan& state, allowance_plan& made)
{
    const resources missing = excess_over(round.need, round.held);
    const bool changed = missing.is_zero() != round.wished.is_zero() ||
                         differs_by_half(missing, round.wished);
    if (state.wish || !changed)
    {
        return;
    }
    state.wish = pending_change{missing, round.now};
    made.records.emplace_back(
        allowance_wanted{shard_, epoch_, round.team, missing});
}

/// This shard's part of the limit: in proportion to its need among the needs
/// of all, of which the others' are what they hold and what they wish.
resources allowance_planner::fair_amount(const team_round& round) const
{
    const resources all =
        excess_over(round.sum, round.held) + round.need + round.others;
    const resources part = fair_part(round.limit, round.need, all);
    return scaled(round.need, fitting_factor(round.need, part));
}

/// The allowance to ask for; the held one where no task's worth of room is
/// there. Where others wait too it is the fair part; wishes lag, so room that
/// is left by all fair parts is split in proportion to what is missing.
resources allowance_planner::raised_amount(
    const team_round& round, bool room_is_left) const
{
    resources desired = min(with_headroom(round.need), round.limit);
    if (round.contended)
    {
        const resources missing = excess_over(round.need, round.held);
        const resources part =
            room_is_left
                ? fair_part(round.room, missing, missing + round.others)
                : resources{};
        const resources fair = max(fair_amount(round), round.load.largest);
        desired = min(max(fair, round.held + part), round.need);
    }
    const resources first = divided(round.limit, first_raise_divisor);
    const resources most = max(max(round.held, first), round.load.largest);
    const resources more = min(excess_over(desired, round.held), most);
    return round.held + whole_tasks(round, more);
}

/// What of an increase fits in the free room: in whole tasks, where their
/// size is known and the increase is not all that is missing.
resources
allowance_planner::whole_tasks(const team_round& round, const resources& more)
{
    const bool is_all = excess_over(round.need, round.held).fits_in(more) &&
                        more.fits_in(round.room);
    const resources& task = round.load.largest;
    if (is_all || task.is_zero())
    {
        return scaled(more, fitting_factor(more, round.room));
    }
    const std::int64_t wanted = nearest_tasks(task, more);
    return task * std::min(wanted, times_within(task, round.room));
}

resources allowance_planner::with_headroom(const resources& need) const
{
    return scaled(need, 1.0 + settings_.headroom);
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
