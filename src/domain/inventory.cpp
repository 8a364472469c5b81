#include "domain/inventory.hpp"

#include <algorithm>

namespace acaciastile
{

namespace
{

result<void> check_entry(const worker_entry& entry)
{
    if (entry.id.empty() || entry.data_centre.empty() || entry.rack.empty())
    {
        return refuse(
            refusal_code::invalid_value,
            "worker '" + entry.id.str() +
                "' needs an id, a data centre and a rack");
    }
    const resources& held = entry.capacity;
    if (held.milli_processors <= 0 || held.memory_mib <= 0 ||
        held.accelerators < 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "worker '" + entry.id.str() +
                "' needs positive processors and memory");
    }
    return {};
}

bool by_id(const worker_entry& left, const worker_entry& right)
{
    return left.id < right.id;
}

} // namespace

result<inventory> inventory::create(std::vector<worker_entry> workers)
{
    for (const worker_entry& entry : workers)
    {
        if (auto checked = check_entry(entry); !checked)
        {
            return tl::unexpected(checked.error());
        }
    }
    std::sort(workers.begin(), workers.end(), by_id);
    auto same_id = [](const worker_entry& left, const worker_entry& right)
    { return left.id == right.id; };
    auto twice = std::adjacent_find(workers.begin(), workers.end(), same_id);
    if (twice != workers.end())
    {
        return refuse(
            refusal_code::invalid_value,
            "worker '" + twice->id.str() + "' is listed twice");
    }
    inventory made;
    made.workers_ = std::move(workers);
    return made;
}

const worker_entry* inventory::find(const worker_id& id) const noexcept
{
    auto at = std::lower_bound(
        workers_.begin(),
        workers_.end(),
        id,
        [](const worker_entry& entry, const worker_id& wanted)
        { return entry.id < wanted; });
    if (at == workers_.end() || at->id != id)
    {
        return nullptr;
    }
    return &*at;
}

} // namespace acaciastile
