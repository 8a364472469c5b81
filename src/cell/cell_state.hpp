#pragma once

#include "cell/allowance_book.hpp"
#include "cell/fold_outcome.hpp"
#include "cell/key_ring.hpp"
#include "cell/record_id_window.hpp"
#include "cell/shard_claim.hpp"
#include "cell/worker_marks.hpp"
#include "domain/cell_record.hpp"
#include "domain/result.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace acaciastile
{

/// The replicated state machine of the cell's stream: configuration, keys,
/// claims and allowances. Whether a record is accepted depends only on the
/// records before it, so every reader of the stream decides alike.
class cell_state
{
public:
    /// Applies one record. A record whose offset is not above the last applied
    /// one, or whose id was seen before, is a duplicate and leaves the state
    /// unchanged. The outcome of a duplicate holds the offset and the refusal,
    /// if any, of its first occurrence while the id is still in the window.
    fold_outcome apply(log_offset offset, const cell_record& record);

    /// Skips an entry that is not a valid record. It counts as applied.
    void skip(log_offset offset) noexcept;

    [[nodiscard]] log_offset applied_through() const noexcept;

    /// The outcome of an earlier record, marked as a duplicate. Empty if the
    /// id was never applied or has left the window.
    [[nodiscard]] std::optional<fold_outcome>
    outcome_of(std::string_view record_id) const;

    [[nodiscard]] const inventory& inventory_in_force() const noexcept;
    [[nodiscard]] revision inventory_revision() const noexcept;
    [[nodiscard]] const rules& rules_in_force() const noexcept;
    [[nodiscard]] revision rules_revision() const noexcept;

    /// Null if the key was never granted or has been withdrawn.
    [[nodiscard]] const key_entry* find_key(const key_id& id) const noexcept;
    /// False until the first operator key has been granted.
    [[nodiscard]] bool has_operator_key() const noexcept;

    [[nodiscard]] bool is_drained(const worker_id& id) const noexcept;
    /// The offset at which the worker was declared dead, or zero. The
    /// declaration is cleared by undraining the worker or by an inventory that
    /// lists the worker under another address.
    [[nodiscard]] log_offset
    declared_dead_at(const worker_id& id) const noexcept;

    /// Null if the shard was never claimed.
    [[nodiscard]] const shard_claim* claim(const shard_id& id) const noexcept;
    [[nodiscard]] const std::map<shard_id, shard_claim>&
    claims() const noexcept;

    [[nodiscard]] resources
    allowance(const shard_id& shard, const team_name& team) const noexcept;
    [[nodiscard]] resources allowance_wanted_by(
        const shard_id& shard, const team_name& team) const noexcept;
    /// The sum of the team's allowances over all shards.
    [[nodiscard]] resources allowance_sum(const team_name& team) const noexcept;
    /// The sum of the allowances requested for a team by all shards but this
    /// one.
    [[nodiscard]] resources wanted_by_others(
        const shard_id& shard, const team_name& team) const noexcept;

    /// Encodes the whole state; `from_snapshot` restores an equal one.
    [[nodiscard]] std::string to_snapshot() const;
    /// Errors: `malformed`.
    [[nodiscard]] static result<cell_state>
    from_snapshot(std::string_view encoded);

    [[nodiscard]] bool operator==(const cell_state&) const = default;

private:
    using applied = result<revision>;

    [[nodiscard]] applied
    fold(log_offset at, const inventory_published& change);
    [[nodiscard]] applied fold(log_offset at, const rules_published& change);
    [[nodiscard]] applied fold(log_offset at, const key_granted& change);
    [[nodiscard]] applied fold(log_offset at, const key_withdrawn& change);
    [[nodiscard]] applied fold(log_offset at, const workers_drained& change);
    [[nodiscard]] applied
    fold(log_offset at, const workers_declared_dead& change);
    [[nodiscard]] applied fold(log_offset at, const shard_claimed& change);
    [[nodiscard]] applied fold(log_offset at, const shard_released& change);
    [[nodiscard]] applied fold(log_offset at, const allowance_set& change);
    [[nodiscard]] applied fold(log_offset at, const allowance_wanted& change);

    [[nodiscard]] applied fold(log_offset at, const inventory_changed& change);
    [[nodiscard]] applied fold(log_offset at, const rules_changed& change);
    [[nodiscard]] applied
    put_in_force(log_offset at, result<inventory> content);
    [[nodiscard]] applied put_in_force(log_offset at, result<rules> content);

    [[nodiscard]] result<void>
    check_epoch(const shard_id& shard, shard_epoch epoch) const;
    [[nodiscard]] revision in_force_for(const cell_change& change) const;

    log_offset applied_through_ = 0;
    inventory inventory_;
    revision inventory_revision_ = 0;
    rules rules_;
    revision rules_revision_ = 0;
    key_ring keys_;
    worker_marks marks_;
    std::map<shard_id, shard_claim> claims_;
    allowance_book allowances_;
    record_id_window ids_;
};

} // namespace acaciastile
