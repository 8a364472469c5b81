#pragma once

#include "domain/ids.hpp"
#include "domain/resources.hpp"
#include "domain/result.hpp"
#include "domain/rules.hpp"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

namespace acaciastile
{

/// The allowance of each shard for each team, which bounds what the shard may
/// have running, and the amount that the shard wants beyond it. Invariant: no
/// raise makes the sum over the shards exceed the team's upper limit. After
/// the limit was lowered the sum may exceed it; then only cuts are accepted.
class allowance_book
{
public:
    /// Maximum of one kind of resource in one record. The sum of a million
    /// such amounts does not overflow.
    static constexpr std::int64_t max_amount = 1'000'000'000'000;

    /// Sets an allowance. A kind of resource that is not raised is always
    /// accepted. Errors: `limit_exceeded`; `unknown_team` for a raise of a
    /// team without a rule; `invalid_value` for an amount out of range.
    [[nodiscard]] result<void>
    set(const shard_id& shard,
        const team_name& team,
        const resources& amount,
        const rules& in_force);

    /// Sets the amount that a shard wants beyond its allowance; zero
    /// withdraws it. Errors: `unknown_team` for an amount other than zero and
    /// a team without a rule; `invalid_value` for an amount out of range.
    [[nodiscard]] result<void> want(
        const shard_id& shard,
        const team_name& team,
        const resources& amount,
        const rules& in_force);

    /// Removes the wanted amounts of a shard, which a former owner has set.
    void clear_wanted(const shard_id& shard);

    [[nodiscard]] resources
    held(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources
    wanted(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources held_sum(const team_name& team) const noexcept;
    [[nodiscard]] resources wanted_sum(const team_name& team) const noexcept;

    [[nodiscard]] nlohmann::json to_compact() const;
    /// Reads what `to_compact` has written. Errors: `malformed`.
    [[nodiscard]] static result<allowance_book>
    from_compact(const nlohmann::json& value);

    [[nodiscard]] bool operator==(const allowance_book&) const = default;

private:
    /// Amounts of one team by shard, none of them zero, and their sum.
    struct amounts
    {
        std::map<shard_id, resources> by_shard;
        resources sum;
        [[nodiscard]] bool operator==(const amounts&) const = default;
    };
    using amounts_by_team = std::map<team_name, amounts>;

    static void
    put(amounts_by_team& book,
        const shard_id& shard,
        const team_name& team,
        const resources& amount);
    [[nodiscard]] static resources amount_in(
        const amounts_by_team& book,
        const shard_id& shard,
        const team_name& team) noexcept;
    [[nodiscard]] static resources
    sum_in(const amounts_by_team& book, const team_name& team) noexcept;
    [[nodiscard]] static nlohmann::json encode(const amounts_by_team& book);
    [[nodiscard]] static result<amounts_by_team>
    decode(const nlohmann::json& value);

    amounts_by_team held_;
    amounts_by_team wanted_;
};

} // namespace acaciastile
