#include "cell/worker_marks.hpp"

#include "codec/array_reader.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

result<void> worker_marks::drain(
    const std::vector<worker_id>& workers,
    log_offset at,
    const inventory& listed)
{
    for (const worker_id& worker : workers)
    {
        if (listed.find(worker) == nullptr)
        {
            return refuse(
                refusal_code::unknown_worker,
                "the inventory lists no worker '" + worker.str() + "'");
        }
    }
    for (const worker_id& worker : workers)
    {
        drained_[worker] = mark{at, {}};
    }
    return {};
}

void worker_marks::undrain(const std::vector<worker_id>& workers)
{
    for (const worker_id& worker : workers)
    {
        drained_.erase(worker);
        dead_.erase(worker);
    }
}

void worker_marks::declare_dead(
    const std::vector<worker_id>& workers,
    log_offset at,
    const inventory& listed)
{
    for (const worker_id& worker : workers)
    {
        const worker_entry* entry = listed.find(worker);
        dead_[worker] = mark{at, entry == nullptr ? "" : entry->address};
    }
    trim(dead_, listed);
}

void worker_marks::revise(const inventory& listed)
{
    std::erase_if(
        dead_,
        [&listed](const marks::value_type& kept)
        {
            const worker_entry* entry = listed.find(kept.first);
            const std::string& address = kept.second.address;
            return entry != nullptr && !address.empty() &&
                   entry->address != address;
        });
    trim(dead_, listed);
    trim(drained_, listed);
}

log_offset worker_marks::dead_at(const worker_id& id) const noexcept
{
    auto at = dead_.find(id);
    return at == dead_.end() ? 0 : at->second.at;
}

void worker_marks::trim(marks& kept, const inventory& listed)
{
    if (kept.size() <= max_unlisted_marks)
    {
        return;
    }
    std::vector<std::pair<log_offset, worker_id>> unlisted;
    for (const auto& [worker, content] : kept)
    {
        if (listed.find(worker) == nullptr)
        {
            unlisted.emplace_back(content.at, worker);
        }
    }
    if (unlisted.size() <= max_unlisted_marks)
    {
        return;
    }
    std::sort(unlisted.begin(), unlisted.end());
    unlisted.resize(unlisted.size() - max_unlisted_marks);
    for (const auto& [offset, worker] : unlisted)
    {
        kept.erase(worker);
    }
}

nlohmann::json worker_marks::to_compact() const
{
    return nlohmann::json::array({encode(drained_), encode(dead_)});
}

result<worker_marks> worker_marks::from_compact(const nlohmann::json& value)
{
    std::vector<named_mark> drained;
    std::vector<named_mark> dead;
    array_reader items(value, "worker marks");
    items.next_list(drained, decode).next_list(dead, decode);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    worker_marks made;
    for (named_mark& read : drained)
    {
        made.drained_.emplace(std::move(read.worker), std::move(read.content));
    }
    for (named_mark& read : dead)
    {
        made.dead_.emplace(std::move(read.worker), std::move(read.content));
    }
    return made;
}

nlohmann::json worker_marks::encode(const marks& kept)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [worker, content] : kept)
    {
        list.push_back(
            nlohmann::json::array({worker.str(), content.at, content.address}));
    }
    return list;
}

result<worker_marks::named_mark>
worker_marks::decode(const nlohmann::json& value)
{
    named_mark made;
    array_reader items(value, "worker mark");
    items.next(made.worker).next(made.content.at).next(made.content.address);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return made;
}

} // namespace acaciastile
