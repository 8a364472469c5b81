#include "policy/worker_pool.hpp"

#include <algorithm>
#include <limits>

namespace acaciastile::impl
{

namespace
{

std::int64_t
times_in(std::int64_t size, std::int64_t room, std::int64_t enough) noexcept
{
    if (size <= 0)
    {
        return enough;
    }
    return std::clamp<std::int64_t>(room / size, 0, enough);
}

/// Idle accelerators keep one part in so many of the processors and memory
/// that come with them on their worker.
constexpr std::int64_t accelerator_keep_divisor = 2;

} // namespace

std::int64_t tasks_that_fit(
    const resources& size, const resources& room, std::int64_t enough) noexcept
{
    if (room.has_negative())
    {
        return 0;
    }
    std::int64_t by_processors =
        times_in(size.milli_processors, room.milli_processors, enough);
    std::int64_t by_memory = times_in(size.memory_mib, room.memory_mib, enough);
    std::int64_t by_accelerators =
        times_in(size.accelerators, room.accelerators, enough);
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
        count_capacity(known.entry.capacity, -1);
    }
    else
    {
        known.state = worker_state::closed;
    }
    known.entry = entry;
    known.rack = number_of("r/" + entry.rack.str());
    known.data_centre = number_of("d/" + entry.data_centre.str());
    known.listed = true;
    count_capacity(entry.capacity, 1);
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
    count_capacity(known.entry.capacity, -1);
    index(slot);
}

worker_slot worker_pool::find(const worker_id& id) const
{
    auto at = by_id_.find(id);
    return at == by_id_.end() ? no_slot : at->second;
}

std::uint32_t worker_pool::number_of(const std::string& place)
{
    auto fresh = static_cast<std::uint32_t>(places_.size());
    return places_.try_emplace(place, fresh).first->second;
}

void worker_pool::hold(worker_slot slot, const resources& size)
{
    workers_[slot].held += size;
    index(slot);
}

void worker_pool::release(worker_slot slot, const resources& size)
{
    workers_[slot].held -= size;
    index(slot);
}

void worker_pool::keep(worker_slot slot, const resources& more)
{
    workers_[slot].kept += more;
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

resources worker_pool::kept_for_accelerators(const pool_worker& worker)
{
    const resources& held = worker.entry.capacity;
    std::int64_t idle = std::max<std::int64_t>(worker.free().accelerators, 0);
    std::int64_t all = held.accelerators * accelerator_keep_divisor;
    return {
        held.milli_processors * idle / all, held.memory_mib * idle / all, 0};
}

void worker_pool::index(worker_slot slot)
{
    const pool_worker& worker = workers_[slot];
    bool accelerated = worker.entry.capacity.accelerators > 0;
    fit_index& own = accelerated ? accelerated_ : plain_;
    fit_index& other = accelerated ? plain_ : accelerated_;
    other.erase(slot);
    bool usable = worker.is_open() && worker.use == worker_use::common;
    if (usable && !worker.kept.is_zero())
    {
        kept_.set(slot, worker.free());
    }
    else
    {
        kept_.erase(slot);
    }
    if (usable && accelerated)
    {
        spare_.set(slot, worker.room() - kept_for_accelerators(worker));
    }
    else
    {
        spare_.erase(slot);
    }
    if (usable)
    {
        own.set(slot, worker.room());
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
    auto weigh = [&](const fit_index::room& room)
    {
        double cost = left_over(size, room.free) + penalty(room.worker);
        if (cost < least || (cost == least && room.worker < best))
        {
            least = cost;
            best = room.worker;
        }
        return ++seen < candidates;
    };
    if (size.accelerators == 0)
    {
        plain_.visit(size, weigh);
    }
    if (best == no_slot)
    {
        seen = 0;
        (size.accelerators == 0 ? spare_ : accelerated_).visit(size, weigh);
    }
    return best;
}

std::size_t worker_pool::count_with_room(const resources& size) const
{
    auto has_room = [&size](const pool_worker& worker)
    {
        return worker.is_open() && worker.use != worker_use::barred &&
               size.fits_in(worker.room());
    };
    auto count = std::count_if(workers_.begin(), workers_.end(), has_room);
    return static_cast<std::size_t>(count);
}

std::size_t worker_pool::count_open_that_could(const resources& size) const
{
    auto could = [&size](const pool_worker& worker)
    {
        return worker.is_open() && worker.use == worker_use::common &&
               size.fits_in(worker.entry.capacity);
    };
    auto count = std::count_if(workers_.begin(), workers_.end(), could);
    return static_cast<std::size_t>(count);
}

std::size_t worker_pool::count_that_could(const resources& size) const
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
worker_pool::tasks_when_empty(const resources& size, std::int64_t enough) const
{
    std::int64_t tasks = 0;
    for (const auto& [capacity, workers] : by_capacity_)
    {
        auto [processors, memory, accelerators] = capacity;
        std::int64_t each =
            tasks_that_fit(size, {processors, memory, accelerators}, enough);
        tasks += each * static_cast<std::int64_t>(workers);
        if (tasks >= enough)
        {
            return enough;
        }
    }
    return tasks;
}

void worker_pool::count_capacity(const resources& capacity, int by)
{
    capacity_key key{
        capacity.milli_processors, capacity.memory_mib, capacity.accelerators};
    if (by > 0)
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

const class_set& worker_pool::kept_reachable() const
{
    return kept_.reachable();
}

worker_slot worker_pool::kept_fit(
    const resources& size, absl::FunctionRef<bool(worker_slot)> allowed) const
{
    worker_slot found = no_slot;
    auto take = [&](const fit_index::room& room)
    {
        if (!allowed(room.worker))
        {
            return true;
        }
        found = room.worker;
        return false;
    };
    kept_.visit(size, take);
    return found;
}

} // namespace acaciastile::impl
