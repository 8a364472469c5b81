#pragma once

#include "cell/fold_outcome.hpp"
#include "cell/shard_claim.hpp"
#include "domain/cell_record.hpp"
#include "domain/result.hpp"

#include <map>
#include <string>

namespace acaciastile
{

/// The fold over the cell's stream: configuration, keys, claims, allowances.
/// A record's acceptance is decided here alone, from the records before it.
class cell_state
{
public:
    /// Folds one record in. Offsets must rise; a lower or equal one is a
    /// duplicate and changes nothing.
    fold_outcome apply(log_offset offset, const cell_record& record);

    [[nodiscard]] log_offset applied_through() const noexcept;

    [[nodiscard]] const inventory& inventory_in_force() const noexcept;
    [[nodiscard]] revision inventory_revision() const noexcept;
    [[nodiscard]] const rules& rules_in_force() const noexcept;
    [[nodiscard]] revision rules_revision() const noexcept;

    /// Null where the key was never granted or is withdrawn.
    [[nodiscard]] const key_entry* find_key(const key_id& id) const noexcept;
    /// False until the first operator's key was granted.
    [[nodiscard]] bool has_operator_key() const noexcept;

    [[nodiscard]] bool is_drained(const worker_id& id) const noexcept;
    /// The offset of the declaration; zero where not declared dead.
    [[nodiscard]] log_offset
    declared_dead_at(const worker_id& id) const noexcept;

    /// Null where the shard was never claimed.
    [[nodiscard]] const shard_claim* claim(const shard_id& id) const noexcept;
    [[nodiscard]] const std::map<shard_id, shard_claim>&
    claims() const noexcept;

    [[nodiscard]] resources
    allowance(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources allowance_wanted_by(
        const shard_id& shard, const team_name& team) const noexcept;
    /// Over all shards.
    [[nodiscard]] resources allowance_sum(const team_name& team) const noexcept;
    /// What other shards want in all for a team, without that shard's wish.
    [[nodiscard]] resources wanted_by_others(
        const shard_id& shard, const team_name& team) const noexcept;

    /// The whole state, encoded; `from_snapshot` gives an equal state.
    [[nodiscard]] std::string to_snapshot() const;
    /// Errors: `malformed`.
    [[nodiscard]] static result<cell_state>
    from_snapshot(std::string_view encoded);
};

} // namespace acaciastile
