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
                "' must have an id, a data centre and a rack");
    }
    const resources& capacity = entry.capacity;
    if (capacity.milli_processors <= 0 || capacity.memory_mib <= 0 ||
        capacity.accelerators < 0)
    {
        return refuse(
            refusal_code::invalid_value,
            "worker '" + entry.id.str() +
                "' must have positive processors and memory and no "
                "negative accelerators");
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
    auto duplicate =
        std::adjacent_find(workers.begin(), workers.end(), same_id);
    if (duplicate != workers.end())
    {
        return refuse(
            refusal_code::invalid_value,
            "worker '" + duplicate->id.str() + "' is listed more than once");
    }
    inventory created;
    created.workers_ = std::move(workers);
    return created;
}

const worker_entry* inventory::find(const worker_id& id) const noexcept
{
    auto found = std::lower_bound(
        workers_.begin(),
        workers_.end(),
        id,
        [](const worker_entry& entry, const worker_id& wanted)
        { return entry.id < wanted; });
    if (found == workers_.end() || found->id != id)
    {
        return nullptr;
    }
    return &*found;
}

} // namespace acaciastile
