#pragma once

#include "domain/worker_entry.hpp"
#include "policy/fit_index.hpp"
#include "policy/scheduler.hpp"
#include "policy/slots.hpp"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace acaciastile::impl
{

/// A running task by the slot of its job.
struct task_ref
{
    job_slot job = no_slot;
    std::uint32_t index = 0;

    [[nodiscard]] bool operator==(const task_ref&) const = default;
};

/// Which work a worker accepts.
enum class worker_use
{
    general,    ///< Takes any work.
    quarantined ///< Accepts only single probe tasks.
};

/// One worker and what is placed on it.
struct pool_worker
{
    worker_entry entry;
    worker_state state = worker_state::closed;
    worker_use use = worker_use::general;
    std::uint32_t rack = 0;        ///< Index of the rack's name.
    std::uint32_t data_centre = 0; ///< Index, distinct from rack indexes.
    bool listed = true; ///< False once removed; it may still hold tasks.
    resources allocated;
    resources reserved; ///< Reserved capacity; may exceed what is free.
    std::vector<task_ref> tasks;

    [[nodiscard]] resources free() const noexcept
    {
        return entry.capacity - allocated;
    }
    /// Free capacity without reservations; may be negative.
    [[nodiscard]] resources available() const noexcept
    {
        return free() - reserved;
    }
    [[nodiscard]] bool is_open() const noexcept
    {
        return state == worker_state::open;
    }
};

/// The workers of one scheduler and their free capacity.
class worker_pool
{
public:
    worker_slot set(const worker_entry& entry);
    void set_state(worker_slot slot, worker_state state);
    void set_use(worker_slot slot, worker_use use);
    void remove(const worker_id& id);

    /// `no_slot` where no worker has that id.
    [[nodiscard]] worker_slot find(const worker_id& id) const;
    [[nodiscard]] const pool_worker& at(worker_slot slot) const
    {
        return workers_[slot];
    }
    [[nodiscard]] std::size_t size() const noexcept { return workers_.size(); }

    void allocate(worker_slot slot, const resources& size);
    void release(worker_slot slot, const resources& size);
    /// Adds to the reserved capacity; negative amounts release it.
    void adjust_reserved(worker_slot slot, const resources& more);
    void add_task(worker_slot slot, const task_ref& task);
    void remove_task(worker_slot slot, const task_ref& task);

    /// What all listed workers hold together.
    [[nodiscard]] const resources& total() const noexcept { return total_; }

    /// Classes of which a task may fit on a worker in general use.
    [[nodiscard]] class_set reachable() const;

    /// The worker in general use with the least leftover capacity plus
    /// penalty for one task of that size; `no_slot` if none fits. Workers
    /// without accelerators go first where none is needed. A penalty that is
    /// not finite excludes the worker.
    [[nodiscard]] worker_slot best_fit(
        const resources& size,
        std::size_t candidates,
        absl::FunctionRef<double(worker_slot)> penalty) const;

    /// Classes that may fit on workers with reserved capacity.
    [[nodiscard]] const class_set& reserved_reachable() const;
    /// An allowed worker with reserved capacity that fits one task.
    [[nodiscard]] worker_slot reserved_fit(
        const resources& size,
        absl::FunctionRef<bool(worker_slot)> allowed) const;

    /// How many open workers have free capacity for one task.
    [[nodiscard]] std::size_t count_available(const resources& size) const;
    /// How many open workers out of quarantine could hold one when empty.
    [[nodiscard]] std::size_t count_open_capable(const resources& size) const;
    /// How many listed workers could hold one task when empty.
    [[nodiscard]] std::size_t count_capable(const resources& size) const;
    /// How many listed workers are exactly of that size.
    [[nodiscard]] std::size_t
    count_of_capacity(const resources& capacity) const;
    /// How many tasks all listed workers could hold when empty.
    [[nodiscard]] std::int64_t
    tasks_when_empty(const resources& size, std::int64_t limit) const;

private:
    using capacity_key = std::tuple<std::int64_t, std::int64_t, std::int64_t>;

    [[nodiscard]] std::uint32_t location_index(const std::string& location);
    void adjust_capacity(const resources& capacity, int change);
    void index(worker_slot slot);
    /// Capacity that plain tasks must leave for tasks on idle accelerators.
    [[nodiscard]] static resources
    reserved_for_accelerators(const pool_worker& worker);
    [[nodiscard]] double
    left_over(const resources& size, const resources& free) const;

    std::vector<pool_worker> workers_;
    absl::flat_hash_map<worker_id, worker_slot> by_id_;
    absl::btree_map<capacity_key, std::size_t> by_capacity_;
    absl::flat_hash_map<std::string, std::uint32_t> location_indexes_;
    resources total_;
    std::size_t listed_ = 0;
    fit_index plain_;
    fit_index accelerated_;
    fit_index spare_; ///< Accelerated workers, without the amounts reserved for
                      ///< accelerators.
    fit_index reserved_; ///< Free capacity of workers with reservations.
};

/// How many tasks of that size fit into the capacity; at most `limit`.
[[nodiscard]] std::int64_t tasks_that_fit(
    const resources& size,
    const resources& available,
    std::int64_t limit) noexcept;

} // namespace acaciastile::impl
