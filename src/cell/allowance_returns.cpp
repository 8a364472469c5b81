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

using impl::cut_to_part;
using impl::divided;
using impl::excess_over;
using impl::masked;
using impl::started;

/// Allowances that are idle for long are given back while less than this part
/// of the limit is free, so that a new demand finds room at once.
constexpr std::int64_t reserve_divisor = 8;

/// Less idle than this part of what others want is given back later.
constexpr std::int64_t small_idle_divisor = 8;
constexpr int small_idle_patience = 4;

/// The margin beyond the need is given back too where others have waited for
/// this many times the idle time.
constexpr int margin_patience = 4;

} // namespace

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

} // namespace acaciastile
