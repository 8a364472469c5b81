#include "fleet/unsettled_orders.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void unsettled_order_table::add(
    const worker_id& worker, const run_ref& run, instant sent_at)
{
    drop_expired(sent_at);
    orders_[worker].push_back({run, sent_at});
    by_age_.push_back({worker, {run, sent_at}});
}

void unsettled_order_table::settle(
    const worker_id& worker, const run_ref& run, instant sent_at)
{
    erase(worker, {run, sent_at});
}

bool unsettled_order_table::contains(
    const worker_id& worker, const run_ref& run, instant now) const
{
    const auto at = orders_.find(worker);
    return at != orders_.end() &&
           std::any_of(
               at->second.begin(),
               at->second.end(),
               [&](const order& each) {
                   return each.run == run &&
                          now - each.sent_at <= longest_delay;
               });
}

std::vector<run_ref>
unsettled_order_table::of(const worker_id& worker, instant now) const
{
    std::vector<run_ref> found;
    if (const auto at = orders_.find(worker); at != orders_.end())
    {
        for (const order& each : at->second)
        {
            if (now - each.sent_at <= longest_delay)
            {
                found.push_back(each.run);
            }
        }
    }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

std::size_t unsettled_order_table::size() const noexcept
{
    std::size_t count = 0;
    for (const auto& [worker, orders] : orders_)
    {
        count += orders.size();
    }
    return count;
}

void unsettled_order_table::drop_expired(instant now)
{
    while (!by_age_.empty() &&
           now - by_age_.front().what.sent_at > longest_delay)
    {
        erase(by_age_.front().worker, by_age_.front().what);
        by_age_.pop_front();
    }
}

void unsettled_order_table::erase(const worker_id& worker, const order& what)
{
    const auto at = orders_.find(worker);
    if (at == orders_.end())
    {
        return;
    }
    const auto found = std::find(at->second.begin(), at->second.end(), what);
    if (found != at->second.end())
    {
        at->second.erase(found);
    }
    if (at->second.empty())
    {
        orders_.erase(at);
    }
}

} // namespace acaciastile::fleet
