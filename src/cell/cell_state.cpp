#include "cell/cell_state.hpp"

#include "cell/configuration_change.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace acaciastile
{

namespace
{

tl::unexpected<error>
conflict(const char* what, revision base, revision in_force)
{
    return refuse(
        refusal_code::revision_conflict,
        "base revision " + std::to_string(base) + " of the " + what +
            " is not the one in force, " + std::to_string(in_force));
}

/// The record's own offset as the new revision if the step succeeded, else
/// the step's error.
result<revision> revision_after(const result<void>& step, log_offset at)
{
    if (!step)
    {
        return tl::unexpected(step.error());
    }
    return at;
}

} // namespace

fold_outcome cell_state::apply(log_offset offset, const cell_record& record)
{
    fold_outcome outcome;
    outcome.offset = offset;
    auto seen = ids_.find(record.id);
    bool old = offset <= applied_through_;
    applied_through_ = std::max(applied_through_, offset);
    if (seen || old)
    {
        outcome.duplicate = true;
        return seen.value_or(outcome);
    }
    applied folded = std::visit(
        [this, offset](const auto& change) { return fold(offset, change); },
        record.change);
    if (folded)
    {
        outcome.in_force = *folded;
    }
    else
    {
        outcome.refusal = std::move(folded.error());
        outcome.in_force = in_force_for(record.change);
    }
    ids_.add(record.id, outcome);
    return outcome;
}

void cell_state::skip(log_offset offset) noexcept
{
    applied_through_ = std::max(applied_through_, offset);
}

log_offset cell_state::applied_through() const noexcept
{
    return applied_through_;
}

std::optional<fold_outcome>
cell_state::outcome_of(std::string_view record_id) const
{
    return ids_.find(record_id);
}

const inventory& cell_state::inventory_in_force() const noexcept
{
    return inventory_;
}

revision cell_state::inventory_revision() const noexcept
{
    return inventory_revision_;
}

const rules& cell_state::rules_in_force() const noexcept
{
    return rules_;
}

revision cell_state::rules_revision() const noexcept
{
    return rules_revision_;
}

const key_entry* cell_state::find_key(const key_id& id) const noexcept
{
    return keys_.find(id);
}

bool cell_state::has_operator_key() const noexcept
{
    return keys_.has_operator_key();
}

bool cell_state::is_drained(const worker_id& id) const noexcept
{
    return marks_.is_drained(id);
}

log_offset cell_state::declared_dead_at(const worker_id& id) const noexcept
{
    return marks_.dead_at(id);
}

const shard_claim* cell_state::claim(const shard_id& id) const noexcept
{
    auto at = claims_.find(id);
    return at == claims_.end() ? nullptr : &at->second;
}

const std::map<shard_id, shard_claim>& cell_state::claims() const noexcept
{
    return claims_;
}

resources cell_state::allowance(
    const shard_id& shard, const team_name& team) const noexcept
{
    return allowances_.held(shard, team);
}

resources cell_state::allowance_wanted_by(
    const shard_id& shard, const team_name& team) const noexcept
{
    return allowances_.wanted(shard, team);
}

resources cell_state::allowance_sum(const team_name& team) const noexcept
{
    return allowances_.held_sum(team);
}

resources cell_state::wanted_by_others(
    const shard_id& shard, const team_name& team) const noexcept
{
    return allowances_.wanted_sum(team) - allowances_.wanted(shard, team);
}

cell_state::applied
cell_state::fold(log_offset at, const inventory_published& change)
{
    if (change.base != inventory_revision_)
    {
        return conflict("inventory", change.base, inventory_revision_);
    }
    return put_in_force(at, change.content);
}

cell_state::applied
cell_state::fold(log_offset at, const inventory_changed& change)
{
    if (change.base != inventory_revision_)
    {
        return conflict("inventory", change.base, inventory_revision_);
    }
    return put_in_force(at, apply_change(inventory_, change));
}

cell_state::applied
cell_state::fold(log_offset at, const rules_published& change)
{
    if (change.base != rules_revision_)
    {
        return conflict("rules", change.base, rules_revision_);
    }
    return put_in_force(at, change.content);
}

cell_state::applied cell_state::fold(log_offset at, const rules_changed& change)
{
    if (change.base != rules_revision_)
    {
        return conflict("rules", change.base, rules_revision_);
    }
    return put_in_force(at, apply_change(rules_, change));
}

cell_state::applied
cell_state::put_in_force(log_offset at, result<inventory> content)
{
    if (!content)
    {
        return tl::unexpected(std::move(content.error()));
    }
    inventory_ = std::move(*content);
    inventory_revision_ = at;
    marks_.revise(inventory_);
    return at;
}

cell_state::applied
cell_state::put_in_force(log_offset at, result<rules> content)
{
    if (!content)
    {
        return tl::unexpected(std::move(content.error()));
    }
    rules_ = std::move(*content);
    rules_revision_ = at;
    return at;
}

cell_state::applied cell_state::fold(log_offset at, const key_granted& change)
{
    return revision_after(keys_.grant(change.key), at);
}

cell_state::applied cell_state::fold(log_offset at, const key_withdrawn& change)
{
    return revision_after(keys_.withdraw(change.id), at);
}

cell_state::applied
cell_state::fold(log_offset at, const workers_drained& change)
{
    if (change.draining)
    {
        return revision_after(marks_.drain(change.workers, at, inventory_), at);
    }
    marks_.undrain(change.workers);
    return at;
}

cell_state::applied
cell_state::fold(log_offset at, const workers_declared_dead& change)
{
    marks_.declare_dead(change.workers, at, inventory_);
    return at;
}

cell_state::applied cell_state::fold(log_offset at, const shard_claimed& change)
{
    if (change.shard.empty() || change.owner.empty())
    {
        return refuse(
            refusal_code::invalid_value, "a claim needs a shard and an owner");
    }
    const shard_claim* before = claim(change.shard);
    shard_epoch epoch = before == nullptr ? 0 : before->epoch;
    if (change.base != epoch)
    {
        return refuse(
            refusal_code::stale_epoch,
            "base epoch " + std::to_string(change.base) + " of shard '" +
                change.shard.str() + "' is not the one in force, " +
                std::to_string(epoch));
    }
    claims_[change.shard] =
        shard_claim{change.owner, change.owner_address, at, false, {}};
    allowances_.clear_wanted(change.shard);
    return at;
}

cell_state::applied
cell_state::fold(log_offset /*at*/, const shard_released& change)
{
    if (auto checked = check_epoch(change.shard, change.epoch); !checked)
    {
        return tl::unexpected(checked.error());
    }
    shard_claim& released = claims_[change.shard];
    released.released = true;
    released.successor = change.successor;
    allowances_.clear_wanted(change.shard);
    return released.epoch;
}

cell_state::applied cell_state::fold(log_offset at, const allowance_set& change)
{
    if (auto checked = check_epoch(change.shard, change.epoch); !checked)
    {
        return tl::unexpected(checked.error());
    }
    auto set =
        allowances_.set(change.shard, change.team, change.amount, rules_);
    return revision_after(set, at);
}

cell_state::applied
cell_state::fold(log_offset at, const allowance_wanted& change)
{
    if (auto checked = check_epoch(change.shard, change.epoch); !checked)
    {
        return tl::unexpected(checked.error());
    }
    auto wanted =
        allowances_.want(change.shard, change.team, change.amount, rules_);
    return revision_after(wanted, at);
}

result<void>
cell_state::check_epoch(const shard_id& shard, shard_epoch epoch) const
{
    const shard_claim* held = claim(shard);
    if (held != nullptr && held->epoch == epoch && !held->released)
    {
        return {};
    }
    return refuse(
        refusal_code::stale_epoch,
        "epoch " + std::to_string(epoch) + " of shard '" + shard.str() +
            "' is not the one in force");
}

revision cell_state::in_force_for(const cell_change& change) const
{
    if (std::holds_alternative<inventory_published>(change) ||
        std::holds_alternative<inventory_changed>(change))
    {
        return inventory_revision_;
    }
    if (std::holds_alternative<rules_published>(change) ||
        std::holds_alternative<rules_changed>(change))
    {
        return rules_revision_;
    }
    if (const auto* claimed = std::get_if<shard_claimed>(&change))
    {
        const shard_claim* held = claim(claimed->shard);
        return held == nullptr ? 0 : held->epoch;
    }
    return 0;
}

} // namespace acaciastile
