#include "cell/allowance_planner.hpp"
#include "cell/rendezvous.hpp"
#include "cell/resource_split.hpp"
#include "cell/stopwatch.hpp"

#include <algorithm>
#include <cstdint>

namespace acaciastile
{

namespace
{

using impl::divided;
using impl::excess_over;
using impl::masked;
using impl::reduce_in_proportion;
using impl::started;

/// Idle allowances are returned while less than this fraction of the limit is
/// free, so that new demand can be met at once.
constexpr std::int64_t reserve_divisor = 8;

/// A surplus below this fraction of what other shards want is returned later,
/// after up to `small_surplus_delay_factor` more idle times.
constexpr std::int64_t small_surplus_divisor = 8;
constexpr int small_surplus_delay_factor = 4;

/// The headroom beyond the need is returned as well once other shards have
/// waited for this many idle times.
constexpr int headroom_delay_factor = 4;

} // namespace

/// Sets the amount that this shard is cut to, in proportion to the lowered
/// limit. This happens at once and only once for each revision of the rules,
/// so that shards which cut early do not also cut for the late ones. It is
/// repeated only if the sum stays above the limit for long, for example
/// because the owner of an allowance is dead.
void allowance_planner::update_lowered_target(
    const team_round& round, team_plan& state) const
{
    const bool is_new = !state.over_limit_since ||
                        state.lowered_target_revision != round.rules_revision;
    const bool again =
        state.lowered_target_since && round.now - *state.lowered_target_since >=
                                          settings_.lowered_limit_grace * 3;
    if (is_new || again)
    {
        const resources target =
            reduce_in_proportion(round.held, round.limit, round.sum);
        state.lowered_target =
            is_new ? target : min(state.lowered_target, target);
        state.lowered_target_since = round.now;
        state.lowered_target_revision = round.rules_revision;
    }
    if (is_new)
    {
        state.over_limit_since = round.now;
    }
}

void allowance_planner::enforce_lowered_limit(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    update_lowered_target(round, state);
    resources& bound = planned.bounds[round.team];
    bound = min(bound, state.lowered_target);
    if (round.load.running.fits_in(bound))
    {
        if (!state.cut && !state.raise && bound != round.held)
        {
            cut(round, state, bound, planned);
        }
        return;
    }
    if (round.now - *state.over_limit_since >= settings_.lowered_limit_grace)
    {
        planned.excess[round.team] = excess_over(round.load.running, bound);
    }
}

/// Withdraws a wanted amount once the need is met, and cuts the idle part of
/// the allowance if other shards want it or the reserve is short.
void allowance_planner::release_idle(
    const team_round& round, team_plan& state, allowance_plan& planned)
{
    const instant satisfied = started(state.satisfied_since, round.now);
    if (round.now - satisfied >= settings_.idle_before_cut)
    {
        record_wanted(round, state, planned);
    }
    if (!round.contended || round.need == round.held)
    {
        state.headroom_since.reset();
    }
    const bool keeps_headroom =
        !round.contended ||
        round.now - started(state.headroom_since, round.now) <
            settings_.idle_before_cut * headroom_delay_factor;
    const resources kept =
        keeps_headroom ? with_headroom(round.need) : round.need;
    const resources idle = excess_over(round.held, kept);
    const resources shortage =
        round.contended
            ? excess_over(round.others, round.available)
            : excess_over(
                  divided(round.limit, reserve_divisor), round.available);
    const resources surplus = min(idle, shortage);
    if (surplus.is_zero())
    {
        state.idle_since.reset();
        return;
    }
    if (round.now - started(state.idle_since, round.now) >=
        idle_delay(round, surplus))
    {
        cut(round, state, round.held - surplus, planned);
    }
}

/// How long an allowance must be idle before it is returned. The time differs
/// between shards, and is longer for a small surplus, so that the shards do
/// not all respond to the same shortage.
milliseconds allowance_planner::idle_delay(
    const team_round& round, const resources& surplus) const
{
    const std::uint64_t spread =
        impl::hash_name(round.team.str(), impl::hash_name(shard_.str(), 0)) %
        1'000;
    const milliseconds least = round.contended ? settings_.idle_before_cut
                                               : settings_.idle_before_reserve;
    const resources small = divided(round.others, small_surplus_divisor);
    const bool is_small =
        masked(surplus, round.others).fits_in(small) || !round.contended;
    const int widest = is_small ? small_surplus_delay_factor : 1;
    return least + least * widest * static_cast<std::int64_t>(spread) / 1'000;
}

} // namespace acaciastile
