#include "policy/worker_pool.hpp"

#include <algorithm>
#include <limits>

namespace acaciastile::impl
{

namespace
{

std::int64_t capped_quotient(
    std::int64_t size, std::int64_t available, std::int64_t limit) noexcept
{
    if (size <= 0)
    {
        return limit;
    }
    return std::clamp<std::int64_t>(available / size, 0, limit);
}

/// Each idle accelerator reserves 1/n of its proportional part of the worker's
/// processors and memory for tasks that need accelerators.
constexpr std::int64_t accelerator_reserve_divisor = 2;

} // namespace

std::int64_t tasks_that_fit(
    const resources& size,
    const resources& available,
    std::int64_t limit) noexcept
{
    if (available.has_negative())
    {
        return 0;
    }
    std::int64_t by_processors = capped_quotient(
        size.milli_processors, available.milli_processors, limit);
    std::int64_t by_memory =
        capped_quotient(size.memory_mib, available.memory_mib, limit);
    std::int64_t by_accelerators =
        capped_quotient(size.accelerators, available.accelerators, limit);
    return std::min({by_processors, by_memory, by_accelerators});
}

worker_slot worker_pool::set(const worker_entry& entry)
{
    auto fresh = static_cast<worker_slot>(workers_.size());
    auto [at, added] = by_id_.try_emplace(entry.id, fresh);
    if (added)
    {
        workers_.emplace_back();
    }
    pool_worker& known = workers_[at->second];
    if (!added && known.listed)
    {
        adjust_capacity(known.entry.capacity, -1);
    }
    else
    {
        known.state = worker_state::closed;
    }
    known.entry = entry;
    known.rack = location_index("r/" + entry.rack.str());
    known.data_centre = location_index("d/" + entry.data_centre.str());
    known.listed = true;
    adjust_capacity(entry.capacity, 1);
    index(at->second);
    return at->second;
}

void worker_pool::set_state(worker_slot slot, worker_state state)
{
    if (workers_[slot].listed)
    {
        workers_[slot].state = state;
        index(slot);
    }
}

void worker_pool::set_use(worker_slot slot, worker_use use)
{
    workers_[slot].use = use;
    index(slot);
}

void worker_pool::remove(const worker_id& id)
{
    worker_slot slot = find(id);
    if (slot == no_slot || !workers_[slot].listed)
    {
        return;
    }
    pool_worker& known = workers_[slot];
    known.listed = false;
    known.state = worker_state::closed;
    adjust_capacity(known.entry.capacity, -1);
    index(slot);
}

worker_slot worker_pool::find(const worker_id& id) const
{
    auto at = by_id_.find(id);
    return at == by_id_.end() ? no_slot : at->second;
}

std::uint32_t worker_pool::location_index(const std::string& location)
{
    auto fresh = static_cast<std::uint32_t>(location_indexes_.size());
    return location_indexes_.try_emplace(location, fresh).first->second;
}

void worker_pool::allocate(worker_slot slot, const resources& size)
{
    workers_[slot].allocated += size;
    index(slot);
}

void worker_pool::release(worker_slot slot, const resources& size)
{
    workers_[slot].allocated -= size;
    index(slot);
}

void worker_pool::adjust_reserved(worker_slot slot, const resources& more)
{
    workers_[slot].reserved += more;
    index(slot);
}

void worker_pool::add_task(worker_slot slot, const task_ref& task)
{
    workers_[slot].tasks.push_back(task);
}

void worker_pool::remove_task(worker_slot slot, const task_ref& task)
{
    std::vector<task_ref>& tasks = workers_[slot].tasks;
    auto at = std::find(tasks.begin(), tasks.end(), task);
    if (at != tasks.end())
    {
        *at = tasks.back();
        tasks.pop_back();
    }
}

resources worker_pool::reserved_for_accelerators(const pool_worker& worker)
{
    const resources& capacity = worker.entry.capacity;
    std::int64_t idle = std::max<std::int64_t>(worker.free().accelerators, 0);
    std::int64_t all = capacity.accelerators * accelerator_reserve_divisor;
    return {
        capacity.milli_processors * idle / all,
        capacity.memory_mib * idle / all,
        0};
}

void worker_pool::index(worker_slot slot)
{
    const pool_worker& worker = workers_[slot];
    bool accelerated = worker.entry.capacity.accelerators > 0;
    fit_index& own = accelerated ? accelerated_ : plain_;
    fit_index& other = accelerated ? plain_ : accelerated_;
    other.erase(slot);
    bool usable = worker.is_open() && worker.use == worker_use::general;
    if (usable && !worker.reserved.is_zero())
    {
        reserved_.set(slot, worker.free());
    }
    else
    {
        reserved_.erase(slot);
    }
    if (usable && accelerated)
    {
        spare_.set(
            slot, worker.available() - reserved_for_accelerators(worker));
    }
    else
    {
        spare_.erase(slot);
    }
    if (usable)
    {
        own.set(slot, worker.available());
    }
    else
    {
        own.erase(slot);
    }
}

class_set worker_pool::reachable() const
{
    class_set both = plain_.reachable();
    both |= spare_.reachable();
    both |= accelerated_.reachable();
    return both;
}

double
worker_pool::left_over(const resources& size, const resources& free) const
{
    auto workers = static_cast<double>(std::max<std::size_t>(listed_, 1));
    auto part = [workers](std::int64_t left, std::int64_t total)
    {
        return total <= 0 ? 0.0
                          : static_cast<double>(left) * workers /
                                static_cast<double>(total);
    };
    resources left = free - size;
    return part(left.milli_processors, total_.milli_processors) +
           part(left.memory_mib, total_.memory_mib);
}

worker_slot worker_pool::best_fit(
    const resources& size,
    std::size_t candidates,
    absl::FunctionRef<double(worker_slot)> penalty) const
{
    worker_slot best = no_slot;
    double least = std::numeric_limits<double>::infinity();
    std::size_t seen = 0;
    auto consider = [&](const fit_index::candidate& candidate)
    {
        double cost =
            left_over(size, candidate.free) + penalty(candidate.worker);
        if (cost < least || (cost == least && candidate.worker < best))
        {
            least = cost;
            best = candidate.worker;
        }
        return ++seen < candidates;
    };
    if (size.accelerators == 0)
    {
        plain_.visit(size, consider);
    }
    if (best == no_slot)
    {
        seen = 0;
        (size.accelerators == 0 ? spare_ : accelerated_).visit(size, consider);
    }
    return best;
}

std::size_t worker_pool::count_available(const resources& size) const
{
    auto fits_now = [&size](const pool_worker& worker)
    {
        return worker.is_open() && worker.use != worker_use::quarantined &&
               size.fits_in(worker.available());
    };
    auto count = std::count_if(workers_.begin(), workers_.end(), fits_now);
    return static_cast<std::size_t>(count);
}

std::size_t worker_pool::count_open_capable(const resources& size) const
{
    auto could = [&size](const pool_worker& worker)
    {
        return worker.is_open() && worker.use == worker_use::general &&
               size.fits_in(worker.entry.capacity);
    };
    auto count = std::count_if(workers_.begin(), workers_.end(), could);
    return static_cast<std::size_t>(count);
}

std::size_t worker_pool::count_capable(const resources& size) const
{
    std::size_t count = 0;
    for (const auto& [capacity, workers] : by_capacity_)
    {
        auto [processors, memory, accelerators] = capacity;
        if (size.fits_in({processors, memory, accelerators}))
        {
            count += workers;
        }
    }
    return count;
}

std::int64_t
worker_pool::tasks_when_empty(const resources& size, std::int64_t limit) const
{
    std::int64_t tasks = 0;
    for (const auto& [capacity, workers] : by_capacity_)
    {
        auto [processors, memory, accelerators] = capacity;
        std::int64_t each =
            tasks_that_fit(size, {processors, memory, accelerators}, limit);
        tasks += each * static_cast<std::int64_t>(workers);
        if (tasks >= limit)
        {
            return limit;
        }
    }
    return tasks;
}

void worker_pool::adjust_capacity(const resources& capacity, int change)
{
    capacity_key key{
        capacity.milli_processors, capacity.memory_mib, capacity.accelerators};
    if (change > 0)
    {
        ++by_capacity_[key];
        total_ += capacity;
        ++listed_;
        return;
    }
    total_ -= capacity;
    --listed_;
    auto at = by_capacity_.find(key);
    if (--at->second == 0)
    {
        by_capacity_.erase(at);
    }
}

std::size_t worker_pool::count_of_capacity(const resources& capacity) const
{
    auto at = by_capacity_.find(
        {capacity.milli_processors,
         capacity.memory_mib,
         capacity.accelerators});
    return at == by_capacity_.end() ? 0 : at->second;
}

const class_set& worker_pool::reserved_reachable() const
{
    return reserved_.reachable();
}

worker_slot worker_pool::reserved_fit(
    const resources& size, absl::FunctionRef<bool(worker_slot)> allowed) const
{
    worker_slot found = no_slot;
    auto accept = [&](const fit_index::candidate& candidate)
    {
        if (!allowed(candidate.worker))
        {
            return true;
        }
        found = candidate.worker;
        return false;
    };
    reserved_.visit(size, accept);
    return found;
}

} // namespace acaciastile::impl
