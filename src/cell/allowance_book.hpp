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

/// What each shard may have running for each team, and what it could use
/// beyond that. Holds: no raise brings the sum over the shards above the
/// team's upper limit. After the limit was lowered the sum may be above it;
/// then only cuts are accepted.
class allowance_book
{
public:
    /// Most of one kind in one record; sums over a million do not overflow.
    static constexpr std::int64_t most_of_one_kind = 1'000'000'000'000;

    /// Sets an allowance. A kind of resource that is not raised is always
    /// accepted. Errors: `limit_exceeded`; `unknown_team` for a raise of a
    /// team without a rule; `invalid_value` for an amount out of range.
    [[nodiscard]] result<void>
    set(const shard_id& shard,
        const team_name& team,
        const resources& amount,
        const rules& in_force);

    /// Replaces a shard's wish; zero withdraws it. Errors: `unknown_team`
    /// for a wish that is not zero; `invalid_value`.
    [[nodiscard]] result<void> want(
        const shard_id& shard,
        const team_name& team,
        const resources& amount,
        const rules& in_force);

    /// Forgets the wishes of a shard: they were those of a former owner.
    void clear_wanted(const shard_id& shard);

    [[nodiscard]] resources
    held(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources
    wanted(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources held_sum(const team_name& team) const noexcept;
    [[nodiscard]] resources wanted_sum(const team_name& team) const noexcept;

    [[nodiscard]] nlohmann::json to_compact() const;
    /// Errors: `malformed`.
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
