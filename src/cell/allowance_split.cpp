#include "cell/allowance_planner.hpp"
#include "cell/resource_split.hpp"
#include "cell/stopwatch.hpp"

#include <algorithm>
#include <cstdint>

namespace acaciastile
{

namespace
{

using impl::any_above;
using impl::divided;
using impl::excess_over;
using impl::fair_part;
using impl::fitting_factor;
using impl::masked;
using impl::nearest_tasks;
using impl::scaled;
using impl::started;
using impl::times_within;

/// A raise goes at least to this part of the limit, so that small demands
/// need one record; beyond it the allowance doubles.
constexpr std::int64_t first_raise_divisor = 8;

/// A busy shard yields where it holds more than this multiple of its part.
constexpr double fair_tolerance = 1.125;

/// A busy shard gives its surplus back in at most this many records.
constexpr std::int64_t shrink_steps = 4;

/// Differs enough for a wish to be written again.
bool differs_by_half(const resources& left, const resources& right)
{
    return any_above(left, right * 2) || any_above(right, left * 2);
}

} // namespace

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

} // namespace acaciastile
