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

/// The fold over the cell's stream: configuration, keys, claims, allowances.
/// A record's acceptance is decided here alone, from the records before it.
class cell_state
{
public:
    /// Folds one record in. Offsets must rise; a lower or equal one is a
    /// duplicate and changes nothing. Of a duplicate the outcome gives the
    /// offset and the refusal, if any, of its first occurrence, as long as
    /// the window of ids keeps it.
    fold_outcome apply(log_offset offset, const cell_record& record);

    /// Passes over an entry that is no record. It counts as applied.
    void skip(log_offset offset) noexcept;

    [[nodiscard]] log_offset applied_through() const noexcept;

    /// What became of a record, as a duplicate's outcome; empty where its id
    /// was not folded or is no longer kept.
    [[nodiscard]] std::optional<fold_outcome>
    outcome_of(std::string_view record_id) const;

    [[nodiscard]] const inventory& inventory_in_force() const noexcept;
    [[nodiscard]] revision inventory_revision() const noexcept;
    [[nodiscard]] const rules& rules_in_force() const noexcept;
    [[nodiscard]] revision rules_revision() const noexcept;

    /// Null where the key was never granted or is withdrawn.
    [[nodiscard]] const key_entry* find_key(const key_id& id) const noexcept;
    /// False until the first operator's key was granted.
    [[nodiscard]] bool has_operator_key() const noexcept;

    [[nodiscard]] bool is_drained(const worker_id& id) const noexcept;
    /// The offset of the declaration; zero where not declared dead. It ends
    /// with an un-drain of the worker or an inventory that lists it with
    /// another address.
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
