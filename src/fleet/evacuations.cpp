#include "fleet/evacuations.hpp"

namespace acaciastile::fleet
{

bool evacuation_table::apply(const entry& record)
{
    const auto known = latest_.find(record.data_centre);
    if (record.offset < complete_to_ ||
        (known != latest_.end() && record.offset < known->second.offset))
    {
        return false;
    }
    latest_[record.data_centre] = record;
    return record.evacuated ? evacuated_.insert(record.data_centre).second
                            : evacuated_.erase(record.data_centre) > 0;
}

bool evacuation_table::load(const std::vector<entry>& newest, log_offset end)
{
    if (end < complete_to_)
    {
        return false; // An earlier read that was answered late.
    }
    const std::set<data_centre_name> before = evacuated_;
    std::erase_if(
        latest_,
        [&](const auto& each)
        {
            const bool replaced = each.second.offset < end;
            if (replaced)
            {
                evacuated_.erase(each.first);
            }
            return replaced;
        });
    complete_to_ = 0;
    for (const entry& record : newest)
    {
        apply(record);
    }
    complete_to_ = end;
    return evacuated_ != before;
}

} // namespace acaciastile::fleet
