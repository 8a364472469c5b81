#pragma once

#include "cell/cell_state.hpp"
#include "domain/instant.hpp"
#include "domain/verdict.hpp"

#include <map>
#include <optional>
#include <vector>

namespace acaciastile
{

/// What a shard's owner knows of one team on its own shard.
struct team_load
{
    resources running; ///< Placed, or possibly still running.
    resources demand;  ///< Waiting.
    resources largest; ///< Largest waiting task; zero where not known.
};

/// What to do about the allowances of one shard.
struct allowance_plan
{
    /// The bound that the scheduler has to keep from now on, for each team.
    /// Never above what the log allows, and already cut where a cut is about
    /// to be written. A team that is not named may start nothing.
    std::map<team_name, resources> bounds;
    /// Records to write; a cut only where `running` is within it already.
    /// Each is written under one record id until it is read back, and its end
    /// is told by `settled`: two records of one team in flight could arrive
    /// in the wrong order, so the planner returns no second one before.
    std::vector<cell_change> records;
    /// Teams that run more than their bound, with the excess: tasks to
    /// checkpoint or stop, after the grace.
    std::map<team_name, resources> excess;
};

struct allowance_settings
{
    milliseconds idle_after{1'000};    ///< Unused this long may be cut.
    milliseconds lowered_grace{5'000}; ///< Before running work is stopped.
    double headroom = 0.25; ///< Raised beyond the demand by this part.
    milliseconds wish_patience{2'000};  ///< Until a wish is written again.
    milliseconds reserve_after{10'000}; ///< Unused, where room is short.
    /// Then a record of which nothing was told counts as never written. Only
    /// for owners that do not call `settled`: a log that takes it later still
    /// would change the allowance unseen.
    milliseconds unsettled_patience{30'000};
    milliseconds turn{10'000};        ///< One task's worth is held that long.
    milliseconds yield{2'000};        ///< After a turn, until the next raise.
    milliseconds left_after{1'000};   ///< Room free this long is left over.
    milliseconds retry_spread{1'000}; ///< Most wait after a refused raise.
};

/// Splits each team's upper limit over the shards. Decides for one shard and
/// one epoch of it; a new epoch starts with a new planner and inherits the
/// shard's allowances from the log.
class allowance_planner
{
public:
    [[nodiscard]] static allowance_planner
    create(shard_id shard, shard_epoch epoch, allowance_settings settings);

    [[nodiscard]] allowance_plan plan(
        instant now,
        const cell_state& cell,
        const std::map<team_name, team_load>& loads);

    /// Tells what became of a record that `plan` returned: `ran` where the
    /// fold read it, accepted or not, `not_run` where it is proven never to
    /// reach the log. With `may_have_run` the record counts as still under
    /// way for as long as the fold does not show it: a cut binds, and no other
    /// change of that team is made here. To be called for each record; one
    /// that is not told of blocks its team for `unsettled_patience`.
    void settled(const cell_change& record, verdict effect);

private:
    /// A record that was handed out and not yet seen in the log.
    struct pending_change
    {
        resources amount;
        instant since{};
        bool unclear = false; ///< Told that it may arrive at any time.
    };

    struct team_plan
    {
        std::optional<pending_change> cut;
        std::optional<pending_change> raise;
        std::optional<pending_change> wish;
        /// A raise that the fold has read; what came of it shows next round.
        std::optional<resources> raise_read;
        bool raise_refused = false; ///< The last raise was.
        std::uint64_t refusals = 0;
        std::optional<instant> room_since; ///< Free while work waits here.
        std::optional<instant> idle_since;
        std::optional<instant> margin_since; ///< Others want the margin.
        std::optional<instant> satisfied_since;
        std::optional<instant> contended_since;
        std::optional<instant> over_since; ///< Of a lowered limit.
        std::optional<instant> target_since;
        revision target_revision = 0;
        resources over_target;
        instant yield_until = instant::min();
    };

    /// One team in one round.
    struct team_round
    {
        instant now{};
        team_name team;
        revision rules_revision = 0;
        team_load load;
        resources limit;
        resources held;   ///< Allowance of this shard in the log.
        resources sum;    ///< Of all shards.
        resources others; ///< What the other shards want.
        resources room;   ///< Of the limit, beyond all allowances.
        resources wished; ///< This shard's wish in the log.
        resources need;   ///< Running and waiting, within the limit.
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
    void note_refusal(const team_round& round, team_plan& state) const;
    void resolve_pending(const team_round& round, team_plan& state) const;
    void
    plan_team(const team_round& round, team_plan& state, allowance_plan& made);
    void follow_lowered_limit(
        const team_round& round, team_plan& state, allowance_plan& made);
    void
    give_back(const team_round& round, team_plan& state, allowance_plan& made);
    void share_when_busy(
        const team_round& round, team_plan& state, allowance_plan& made);
    void ask_for_more(
        const team_round& round, team_plan& state, allowance_plan& made);
    void wish(const team_round& round, team_plan& state, allowance_plan& made);

    void set_over_target(const team_round& round, team_plan& state) const;
    [[nodiscard]] milliseconds
    idle_wait(const team_round& round, const resources& surplus) const;
    [[nodiscard]] resources fair_amount(const team_round& round) const;
    [[nodiscard]] resources
    raised_amount(const team_round& round, bool room_is_left) const;
    [[nodiscard]] static resources
    whole_tasks(const team_round& round, const resources& more);
    [[nodiscard]] resources with_headroom(const resources& need) const;
    void
    cut(const team_round& round,
        team_plan& state,
        const resources& amount,
        allowance_plan& made) const;

    shard_id shard_;
    shard_epoch epoch_ = 0;
    allowance_settings settings_;
    std::map<team_name, team_plan> teams_;
};

} // namespace acaciastile
