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

/// Replaces the whole inventory. Applied only if `base` is the revision of the
/// inventory in force.
struct inventory_published
{
    revision base = 0;
    inventory content;
    [[nodiscard]] bool operator==(const inventory_published&) const = default;
};

/// Replaces all rules. Applied only if `base` is their revision in force.
struct rules_published
{
    revision base = 0;
    rules content;
    [[nodiscard]] bool operator==(const rules_published&) const = default;
};

/// Updates some workers of the inventory and leaves the others unchanged.
/// Applied only if `base` is the revision of the inventory in force.
struct inventory_changed
{
    revision base = 0;
    std::vector<worker_entry> set;  ///< Inserted, or replaced by id.
    std::vector<worker_id> removed; ///< Removed from the inventory.
    [[nodiscard]] bool operator==(const inventory_changed&) const = default;
};

/// Updates some rules and leaves the others unchanged. Applied only if `base`
/// is the revision of the rules in force.
struct rules_changed
{
    revision base = 0;
    std::vector<team_rule> set_teams; ///< Inserted, or replaced by name.
    std::vector<team_name> removed_teams;
    std::vector<queue_rule> set_queues; ///< Inserted, or replaced by name.
    std::vector<queue_name> removed_queues;
    [[nodiscard]] bool operator==(const rules_changed&) const = default;
};

/// Adds an API key. Rejected if the id has been used before, even for a key
/// that has since been withdrawn.
struct key_granted
{
    key_entry key;
    [[nodiscard]] bool operator==(const key_granted&) const = default;
};

/// Permanently revokes an API key.
struct key_withdrawn
{
    key_id id;
    [[nodiscard]] bool operator==(const key_withdrawn&) const = default;
};

/// Starts or ends an operator's drain of workers. A draining worker gets no
/// new tasks.
struct workers_drained
{
    std::vector<worker_id> workers;
    bool draining = true;
    [[nodiscard]] bool operator==(const workers_drained&) const = default;
};

/// An operator's confirmation that these workers and all tasks on them have
/// stopped.
struct workers_declared_dead
{
    std::vector<worker_id> workers;
    [[nodiscard]] bool operator==(const workers_declared_dead&) const = default;
};

/// Claims ownership of a shard. Applied only if `base` is the shard's current
/// epoch; the offset of this record becomes the new epoch.
struct shard_claimed
{
    shard_id shard;
    instance_id owner;
    std::string owner_address;
    shard_epoch base = 0;
    [[nodiscard]] bool operator==(const shard_claimed&) const = default;
};

/// Releases ownership of a shard. The owner has stopped renewing its leases.
struct shard_released
{
    shard_id shard;
    shard_epoch epoch = 0;
    instance_id successor; ///< Empty: chosen by hashing.
    [[nodiscard]] bool operator==(const shard_released&) const = default;
};

/// Sets the resources that a shard may use at once for a team. An increase is
/// applied only if the sum over all shards stays within the team's upper
/// limit; a decrease is always applied.
struct allowance_set
{
    shard_id shard;
    shard_epoch epoch = 0;
    team_name team;
    resources amount;
    [[nodiscard]] bool operator==(const allowance_set&) const = default;
};

/// Requests additional allowance for a team; zero if the shard needs no more.
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

/// One record of the cell's log stream. A record whose id was already applied
/// is ignored.
struct cell_record
{
    std::string id;
    cell_change change;
    [[nodiscard]] bool operator==(const cell_record&) const = default;
};

} // namespace acaciastile
