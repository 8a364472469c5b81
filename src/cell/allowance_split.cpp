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
using impl::fitting_factor;
using impl::masked;
using impl::nearest_task_count;
using impl::proportional_share;
using impl::scaled;
using impl::started;
using impl::tasks_that_fit;

/// A raise may add up to this fraction of the limit, so that a small demand
/// needs one record, or up to the held allowance, which then doubles.
constexpr std::int64_t first_raise_divisor = 8;

/// A busy shard shrinks if it holds more than this multiple of its fair share.
constexpr double fair_tolerance = 1.125;

/// A busy shard returns its surplus in at most this many records.
constexpr std::int64_t shrink_steps = 4;

/// True if any kind differs by more than a factor of two.
bool differs_by_half(const resources& left, const resources& right)
{
    return any_above(left, right * 2) || any_above(right, left * 2);
}

} // namespace

/// Shrinks the allowance towards the fair share as tasks end, while other
/// shards wait too. If the fair share is less than one task, the shards take
/// turns: each holds one task for `min_hold` and then gives all of it up.
void allowance_planner::shrink_to_fair_share(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    const resources fair = fair_share(round);
    const resources allowed = scaled(fair, fair_tolerance);
    if (masked(round.held, round.others).fits_in(allowed))
    {
        return;
    }
    resources target = round.held;
    if (any_above(round.load.largest, fair))
    {
        const bool holds_one_task = round.held.fits_in(round.load.largest * 2);
        const milliseconds held_for = round.now - *state.contended_since;
        if (holds_one_task && held_for < settings_.min_hold)
        {
            return;
        }
        target = holds_one_task ? resources{} : round.load.largest;
    }
    else
    {
        const resources& task = round.load.largest;
        target = task.is_zero() ? fair : task * nearest_task_count(task, fair);
    }
    // Kinds of resource that no other shard wants are kept.
    const resources kept = round.held - masked(round.held, round.others);
    target = min(round.held, masked(target, round.others) + kept);
    planned.bounds[round.team] = min(planned.bounds[round.team], target);
    const resources step = divided(round.held - target, shrink_steps);
    const resources next = min(round.held, max(target, round.load.running));
    const bool worth_a_record =
        next == target || !(round.held - next).fits_in(step);
    if (next != round.held && worth_a_record)
    {
        cut(round, state, next, planned);
        state.next_raise_at = round.now + settings_.raise_delay;
        if (target.is_zero() || next == target)
        {
            state.contended_since.reset();
        }
    }
}

void allowance_planner::request_raise(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    const bool fits_one_task = !round.available.is_zero() &&
                               round.load.largest.fits_in(round.available);
    if (!fits_one_task)
    {
        state.available_since.reset();
    }
    const bool has_unclaimed =
        fits_one_task &&
        round.now - started(state.available_since, round.now) >=
            settings_.unclaimed_after;
    const resources amount = raised_amount(round, has_unclaimed);
    const bool delayed = round.contended && round.now < state.next_raise_at;
    if (!delayed && amount != round.held)
    {
        state.raise = pending_change{amount, round.now};
        planned.records.emplace_back(
            allowance_set{shard_, epoch_, round.team, amount});
    }
    const resources missing = excess_over(round.need, round.held);
    if (any_above(missing, round.available) || !round.wanted.is_zero() ||
        state.raise_refused)
    {
        record_wanted(round, state, planned);
    }
}

/// Writes the amount that is missing here if it differs enough from the
/// wanted amount in the log.
void allowance_planner::record_wanted(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    const resources missing = excess_over(round.need, round.held);
    const bool changed = missing.is_zero() != round.wanted.is_zero() ||
                         differs_by_half(missing, round.wanted);
    if (state.pending_wanted || !changed)
    {
        return;
    }
    state.pending_wanted = pending_change{missing, round.now};
    planned.records.emplace_back(
        allowance_wanted{shard_, epoch_, round.team, missing});
}

/// This shard's share of the limit, in proportion to its need among the needs
/// of all shards. The need of the others is what they hold and want.
resources allowance_planner::fair_share(const team_round& round) const
{
    const resources all =
        excess_over(round.sum, round.held) + round.need + round.others;
    const resources part = proportional_share(round.limit, round.need, all);
    return scaled(round.need, fitting_factor(round.need, part));
}

/// The allowance to request; the held one if not even one task fits. While
/// other shards wait too it is the fair share. Wanted amounts in the log lag,
/// so what the fair shares leave unclaimed is divided in proportion to what is
/// missing.
resources allowance_planner::raised_amount(
    const team_round& round, bool has_unclaimed) const
{
    resources desired = min(with_headroom(round.need), round.limit);
    if (round.contended)
    {
        const resources missing = excess_over(round.need, round.held);
        const resources part =
            has_unclaimed
                ? proportional_share(
                      round.available, missing, missing + round.others)
                : resources{};
        const resources fair = max(fair_share(round), round.load.largest);
        desired = min(max(fair, round.held + part), round.need);
    }
    const resources first = divided(round.limit, first_raise_divisor);
    const resources most = max(max(round.held, first), round.load.largest);
    const resources more = min(excess_over(desired, round.held), most);
    return round.held + whole_tasks(round, more);
}

/// The part of an increase that fits in what is available. It is rounded to
/// whole tasks if their size is known and the increase does not cover the
/// whole need.
resources
allowance_planner::whole_tasks(const team_round& round, const resources& more)
{
    const bool covers_need =
        excess_over(round.need, round.held).fits_in(more) &&
        more.fits_in(round.available);
    const resources& task = round.load.largest;
    if (covers_need || task.is_zero())
    {
        return scaled(more, fitting_factor(more, round.available));
    }
    const std::int64_t wanted = nearest_task_count(task, more);
    return task * std::min(wanted, tasks_that_fit(task, round.available));
}

resources allowance_planner::with_headroom(const resources& need) const
{
    return scaled(need, 1.0 + settings_.headroom);
}

} // namespace acaciastile
