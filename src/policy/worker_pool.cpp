#include "policy/worker_pool.hpp"

#include <algorithm>

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
        workers_.push_back({entry, worker_state::closed, true, {}});
        count_capacity(entry.capacity, 1);
        return fresh;
    }
    pool_worker& known = workers_[at->second];
    if (known.listed)
    {
        count_capacity(known.entry.capacity, -1);
    }
    else
    {
        known.state = worker_state::closed;
    }
    known.entry = entry;
    known.listed = true;
    count_capacity(entry.capacity, 1);
    return at->second;
}

void worker_pool::set_state(const worker_id& id, worker_state state)
{
    worker_slot slot = find(id);
    if (slot != no_slot && workers_[slot].listed)
    {
        workers_[slot].state = state;
    }
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
}

worker_slot worker_pool::find(const worker_id& id) const
{
    auto at = by_id_.find(id);
    return at == by_id_.end() ? no_slot : at->second;
}

void worker_pool::hold(worker_slot slot, const resources& size)
{
    workers_[slot].held += size;
}

void worker_pool::release(worker_slot slot, const resources& size)
{
    workers_[slot].held -= size;
}

worker_slot worker_pool::best_fit(const resources& size) const
{
    worker_slot best = no_slot;
    std::tuple<std::int64_t, std::int64_t, std::int64_t> least;
    for (worker_slot slot = 0; slot < workers_.size(); ++slot)
    {
        const pool_worker& worker = workers_[slot];
        resources room = worker.free();
        if (worker.state != worker_state::open || !size.fits_in(room))
        {
            continue;
        }
        std::tuple left{
            room.accelerators - size.accelerators,
            room.milli_processors - size.milli_processors,
            room.memory_mib - size.memory_mib};
        if (best == no_slot || left < least)
        {
            best = slot;
            least = left;
        }
    }
    return best;
}

std::size_t worker_pool::count_with_room(const resources& size) const
{
    auto has_room = [&size](const pool_worker& worker) {
        return worker.state == worker_state::open &&
               size.fits_in(worker.free());
    };
    auto count = std::count_if(workers_.begin(), workers_.end(), has_room);
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
        return;
    }
    total_ -= capacity;
    auto at = by_capacity_.find(key);
    if (--at->second == 0)
    {
        by_capacity_.erase(at);
    }
}

} // namespace acaciastile::impl
