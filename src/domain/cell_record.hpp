#pragma once

#include "domain/ids.hpp"
#include "domain/inventory.hpp"
#include "domain/key_entry.hpp"
#include "domain/resources.hpp"
#include "domain/rules.hpp"

#include <string>
#include <variant>
#include <vector>

namespace acaciastile
{

/// Replaces the whole inventory. Accepted where `base` is the revision of the
/// inventory in force.
struct inventory_published
{
    revision base = 0;
    inventory content;
    [[nodiscard]] bool operator==(const inventory_published&) const = default;
};

/// Replaces all rules. Accepted where `base` is their revision in force.
struct rules_published
{
    revision base = 0;
    rules content;
    [[nodiscard]] bool operator==(const rules_published&) const = default;
};

/// Changes some workers of the inventory. Accepted where `base` is the
/// revision of the inventory in force; the rest of it stays as it is.
struct inventory_changed
{
    revision base = 0;
    std::vector<worker_entry> set;  ///< Added, or replaced by id.
    std::vector<worker_id> removed; ///< Not listed any more.
    [[nodiscard]] bool operator==(const inventory_changed&) const = default;
};

/// Changes some rules. Accepted where `base` is their revision in force; the
/// rest stays as it is.
struct rules_changed
{
    revision base = 0;
    std::vector<team_rule> set_teams; ///< Added, or replaced by name.
    std::vector<team_name> removed_teams;
    std::vector<queue_rule> set_queues; ///< Added, or replaced by name.
    std::vector<queue_name> removed_queues;
    [[nodiscard]] bool operator==(const rules_changed&) const = default;
};

/// Grants a key. Refused where the id was ever used.
struct key_granted
{
    key_entry key;
    [[nodiscard]] bool operator==(const key_granted&) const = default;
};

/// Withdraws a key for ever.
struct key_withdrawn
{
    key_id id;
    [[nodiscard]] bool operator==(const key_withdrawn&) const = default;
};

/// Opens or closes workers for new work: a drain by the operator.
struct workers_drained
{
    std::vector<worker_id> workers;
    bool draining = true;
    [[nodiscard]] bool operator==(const workers_drained&) const = default;
};

/// An operator's statement that these workers have ended and what ran on
/// them runs no longer.
struct workers_declared_dead
{
    std::vector<worker_id> workers;
    [[nodiscard]] bool operator==(const workers_declared_dead&) const = default;
};

/// Claims a shard. Accepted where `base` is the shard's epoch in force; the
/// record's own offset becomes the new epoch.
struct shard_claimed
{
    shard_id shard;
    instance_id owner;
    std::string owner_address;
    shard_epoch base = 0;
    [[nodiscard]] bool operator==(const shard_claimed&) const = default;
};

/// The owner gives a shard up and has stopped renewing leases on it.
struct shard_released
{
    shard_id shard;
    shard_epoch epoch = 0;
    instance_id successor; ///< Empty: whoever the hash names.
    [[nodiscard]] bool operator==(const shard_released&) const = default;
};

/// Sets what a shard may have running for a team. A raise is accepted where
/// the sum over shards stays within the team's upper limit; a cut always.
struct allowance_set
{
    shard_id shard;
    shard_epoch epoch = 0;
    team_name team;
    resources amount;
    [[nodiscard]] bool operator==(const allowance_set&) const = default;
};

/// Says how much more a shard could use for a team; zero when satisfied.
struct allowance_wanted
{
    shard_id shard;
    shard_epoch epoch = 0;
    team_name team;
    resources amount;
    [[nodiscard]] bool operator==(const allowance_wanted&) const = default;
};

using cell_change = std::variant<
    inventory_published,
    rules_published,
    key_granted,
    key_withdrawn,
    workers_drained,
    workers_declared_dead,
    shard_claimed,
    shard_released,
    allowance_set,
    allowance_wanted,
    inventory_changed,
    rules_changed>;

/// One record of the cell's stream. A record whose id was seen before folds
/// to nothing.
struct cell_record
{
    std::string id;
    cell_change change;
    [[nodiscard]] bool operator==(const cell_record&) const = default;
};

} // namespace acaciastile
