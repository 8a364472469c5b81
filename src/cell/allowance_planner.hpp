#pragma once

#include "cell/cell_state.hpp"
#include "domain/instant.hpp"
#include "domain/verdict.hpp"

#include <map>
#include <optional>
#include <vector>

namespace acaciastile
{

/// Load of one team on one shard, as its owner knows it.
struct team_load
{
    resources running; ///< Sum of tasks placed or possibly still running.
    resources demand;  ///< Sum of waiting tasks.
    resources largest; ///< Largest waiting task; zero if not known.
};

/// Bounds, records and excess for the allowances of one shard.
struct allowance_plan
{
    /// For each team, the bound that the scheduler must respect from now on.
    /// It never exceeds the allowance in the log, and is already reduced for a
    /// cut that has not been written yet. A team that is missing here may
    /// start nothing.
    std::map<team_name, resources> bounds;
    /// Records to append to the log; a cut is only returned once `running` is
    /// within it. The caller retries a record under the same id until it is
    /// read back and reports the outcome by `settled`. Two records of one team
    /// in flight could arrive in the wrong order, so the planner returns no
    /// second one before that.
    std::vector<cell_change> records;
    /// How far each team's running tasks still exceed a lowered limit once the
    /// grace period has ended. Tasks of that size are to be checkpointed or
    /// stopped.
    std::map<team_name, resources> excess;
};

struct allowance_settings
{
    /// How long an allowance must be unused before it is cut in favour of
    /// other shards.
    milliseconds idle_before_cut{1'000};
    /// Time from a lowered limit until running tasks are stopped.
    milliseconds lowered_limit_grace{5'000};
    /// Fraction of the need by which a raise goes beyond it.
    double headroom = 0.25;
    /// After this time without effect a wanted amount is written again.
    milliseconds wanted_timeout{2'000};
    /// How long an allowance must be unused before it is cut to restore the
    /// team's reserve, while no other shard wants it.
    milliseconds idle_before_reserve{10'000};
    /// A record whose outcome was not reported counts as never written after
    /// this time. Only for owners that do not call `settled`: if the record
    /// reaches the log even later, it changes the allowance unnoticed.
    milliseconds unsettled_timeout{30'000};
    /// How long a shard keeps an allowance of about one task before it must
    /// let other shards have it.
    milliseconds min_hold{10'000};
    /// Time from a cut made for other shards until the next raise.
    milliseconds raise_delay{2'000};
    /// Part of the limit that has been free this long counts as unclaimed.
    milliseconds unclaimed_after{1'000};
    /// Upper bound of the random delay after a refused raise.
    milliseconds retry_spread{1'000};
};

/// Divides each team's upper limit among the shards. A planner decides for
/// one shard and one of its epochs; a new epoch starts with a new planner and
/// inherits the shard's allowances from the log.
class allowance_planner
{
public:
    [[nodiscard]] static allowance_planner
    create(shard_id shard, shard_epoch epoch, allowance_settings settings);

    [[nodiscard]] allowance_plan plan(
        instant now,
        const cell_state& cell,
        const std::map<team_name, team_load>& loads);

    /// Reports the outcome of a record that `plan` returned: `ran` if it was
    /// read back from the log, accepted or not; `not_run` if it is certain
    /// never to reach the log. With `may_have_run` the record stays pending
    /// until its effect shows in the cell state: a pending cut is binding, and
    /// the team gets no other change. Must be called for each record, as one
    /// without an outcome blocks its team for `unsettled_timeout`.
    void settled(const cell_change& record, verdict effect);

private:
    /// A record that `plan` returned and that is not yet seen in the log.
    struct pending_change
    {
        resources amount;
        instant since{};
        bool outcome_unknown = false; ///< It may still reach the log.
    };

    struct team_plan
    {
        std::optional<pending_change> cut;
        std::optional<pending_change> raise;
        std::optional<pending_change> pending_wanted;
        /// A raise that was read back from the log. The next round shows
        /// whether it was accepted.
        std::optional<resources> folded_raise;
        bool raise_refused = false; ///< Whether the last raise was refused.
        std::uint64_t refusals = 0; ///< Refused raises in a row.
        /// Since when part of the limit has been free while tasks wait here.
        std::optional<instant> available_since;
        std::optional<instant> idle_since;
        /// Since when other shards have wanted the headroom held here.
        std::optional<instant> headroom_since;
        std::optional<instant> satisfied_since;
        std::optional<instant> contended_since;
        /// Since when the allowances have exceeded a lowered limit.
        std::optional<instant> over_limit_since;
        std::optional<instant> lowered_target_since;
        revision lowered_target_revision = 0;
        resources lowered_target;
        instant next_raise_at = instant::min();
    };

    /// State of one team, gathered once for each call of `plan`.
    struct team_round
    {
        instant now{};
        team_name team;
        revision rules_revision = 0;
        team_load load;
        resources limit;
        resources held;      ///< Allowance of this shard in the log.
        resources sum;       ///< Allowances of all shards.
        resources others;    ///< Amounts wanted by the other shards.
        resources available; ///< Part of the limit in no allowance.
        resources wanted;    ///< Amount wanted by this shard in the log.
        resources need;      ///< Running and waiting, at most the limit.
        /// Other shards wait too, and there is not enough for all of them.
        bool contended = false;
    };

    static void settle(
        std::optional<pending_change>& pending,
        const resources& amount,
        verdict effect);
    [[nodiscard]] team_round make_round(
        instant now,
        const cell_state& cell,
        const team_name& team,
        const team_load& load) const;
    void handle_refused_raise(const team_round& round, team_plan& state) const;
    void resolve_pending(const team_round& round, team_plan& state) const;
    void plan_team(
        const team_round& round, team_plan& state, allowance_plan& planned);
    void enforce_lowered_limit(
        const team_round& round, team_plan& state, allowance_plan& planned);
    void release_idle(
        const team_round& round, team_plan& state, allowance_plan& planned);
    void shrink_to_fair_share(
        const team_round& round, team_plan& state, allowance_plan& planned);
    void request_raise(
        const team_round& round, team_plan& state, allowance_plan& planned);
    void record_wanted(
        const team_round& round, team_plan& state, allowance_plan& planned);

    void update_lowered_target(const team_round& round, team_plan& state) const;
    [[nodiscard]] milliseconds
    idle_delay(const team_round& round, const resources& surplus) const;
    [[nodiscard]] resources fair_share(const team_round& round) const;
    [[nodiscard]] resources
    raised_amount(const team_round& round, bool has_unclaimed) const;
    [[nodiscard]] static resources
    whole_tasks(const team_round& round, const resources& more);
    [[nodiscard]] resources with_headroom(const resources& need) const;
    void
    cut(const team_round& round,
        team_plan& state,
        const resources& amount,
        allowance_plan& planned) const;

    shard_id shard_;
    shard_epoch epoch_ = 0;
    allowance_settings settings_;
    std::map<team_name, team_plan> teams_;
};

} // namespace acaciastile
