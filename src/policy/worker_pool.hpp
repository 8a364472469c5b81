#pragma once

#include "domain/worker_entry.hpp"
#include "policy/scheduler.hpp"
#include "policy/slots.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace acaciastile::impl
{

/// One worker and what is placed on it.
struct pool_worker
{
    worker_entry entry;
    worker_state state = worker_state::closed;
    bool listed = true; ///< False once removed; it may still hold tasks.
    resources held;

    [[nodiscard]] resources free() const noexcept
    {
        return entry.capacity - held;
    }
};

/// The workers known to one scheduler and their room.
class worker_pool
{
public:
    worker_slot set(const worker_entry& entry);
    void set_state(const worker_id& id, worker_state state);
    void remove(const worker_id& id);

    /// `no_slot` where no worker has that id.
    [[nodiscard]] worker_slot find(const worker_id& id) const;
    [[nodiscard]] const pool_worker& at(worker_slot slot) const
    {
        return workers_[slot];
    }

    void hold(worker_slot slot, const resources& size);
    void release(worker_slot slot, const resources& size);

    /// What all listed workers hold together.
    [[nodiscard]] const resources& total() const noexcept { return total_; }

    /// The open worker on which one task of that size leaves the least room;
    /// workers without accelerators go first where none is needed.
    [[nodiscard]] worker_slot best_fit(const resources& size) const;

    /// How many open workers have room for one task now.
    [[nodiscard]] std::size_t count_with_room(const resources& size) const;
    /// How many listed workers could hold one task when empty.
    [[nodiscard]] std::size_t count_that_could(const resources& size) const;
    /// How many tasks all listed workers could hold when empty.
    [[nodiscard]] std::int64_t
    tasks_when_empty(const resources& size, std::int64_t enough) const;

private:
    using capacity_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

    void count_capacity(const resources& capacity, int by);

    std::vector<pool_worker> workers_;
    absl::flat_hash_map<worker_id, worker_slot> by_id_;
    absl::btree_map<capacity_key, std::size_t> by_capacity_;
    resources total_;
};

/// How many tasks of that size fit into the room; at most `enough`.
[[nodiscard]] std::int64_t tasks_that_fit(
    const resources& size, const resources& room, std::int64_t enough) noexcept;

} // namespace acaciastile::impl
