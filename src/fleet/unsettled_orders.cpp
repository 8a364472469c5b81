#include "fleet/unsettled_orders.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void unsettled_order_table::add(
    const worker_id& worker,
    const run_ref& run,
    instant sent_at,
    std::uint64_t incarnation,
    order_reach reach)
{
    drop_expired(sent_at);
    orders_[worker].push_back({run, sent_at, incarnation, reach});
    by_age_.push_back({worker, run, sent_at});
    if (reach == order_reach::any_incarnation)
    {
        binding& bound = bound_[run.task];
        bound.worker = worker;
        ++bound.orders;
    }
}

void unsettled_order_table::note_unanswered(
    const worker_id& worker, const run_ref& run, instant sent_at)
{
    const auto at = orders_.find(worker);
    if (at == orders_.end())
    {
        return;
    }
    for (order& each : at->second)
    {
        if (each.run == run && each.sent_at == sent_at && !each.unanswered)
        {
            each.unanswered = true;
            unanswered_ += each.reach == order_reach::any_incarnation ? 1 : 0;
        }
    }
}

void unsettled_order_table::settle(
    const worker_id& worker, const run_ref& run, instant sent_at)
{
    erase(worker, run, sent_at);
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

void unsettled_order_table::note_barred(
    const worker_id& worker, const run_ref& run, std::uint64_t incarnation)
{
    const auto at = orders_.find(worker);
    if (at == orders_.end())
    {
        return;
    }
    for (order& each : at->second)
    {
        if (each.run.task == run.task && each.run.run <= run.run)
        {
            each.barred_on = incarnation;
        }
    }
}

void unsettled_order_table::note_lease_expired(
    const worker_id& worker, const run_ref& run, std::uint64_t incarnation)
{
    const auto at = orders_.find(worker);
    if (at == orders_.end())
    {
        return;
    }
    for (order& each : at->second)
    {
        if (each.run == run && each.incarnation == incarnation)
        {
            each.barred_on = incarnation;
        }
    }
}

bool unsettled_order_table::may_start_on(
    const worker_id& worker,
    const run_ref& run,
    std::uint64_t incarnation,
    instant now) const
{
    const auto at = orders_.find(worker);
    return at != orders_.end() && std::any_of(
                                      at->second.begin(),
                                      at->second.end(),
                                      [&](const order& each)
                                      {
                                          return each.run == run &&
                                                 each.binds(run.task, now) &&
                                                 each.barred_on != incarnation;
                                      });
}

std::optional<worker_id>
unsettled_order_table::bound_worker(const task_ref& task, instant now) const
{
    const auto bound = bound_.find(task);
    if (bound == bound_.end())
    {
        return std::nullopt;
    }
    const auto at = orders_.find(bound->second.worker);
    const bool binds =
        at != orders_.end() &&
        std::any_of(
            at->second.begin(),
            at->second.end(),
            [&](const order& each) { return each.binds(task, now); });
    return binds ? std::optional(bound->second.worker) : std::nullopt;
}

bool unsettled_order_table::is_barred(
    const task_ref& task,
    const worker_id& worker,
    std::uint64_t incarnation,
    instant now) const
{
    const auto at = orders_.find(worker);
    return at == orders_.end() || std::all_of(
                                      at->second.begin(),
                                      at->second.end(),
                                      [&](const order& each) {
                                          return !each.binds(task, now) ||
                                                 each.barred_on == incarnation;
                                      });
}

bool unsettled_order_table::binds_to(const worker_id& worker) const
{
    const auto at = orders_.find(worker);
    return at != orders_.end() &&
           std::any_of(
               at->second.begin(),
               at->second.end(),
               [](const order& each) {
                   return each.reach == order_reach::any_incarnation &&
                          each.unanswered;
               });
}

std::optional<unsettled_order_table::late_order>
unsettled_order_table::late_for(
    const worker_id& worker,
    const run_ref& run,
    std::uint64_t incarnation) const
{
    std::optional<late_order> last;
    if (const auto at = orders_.find(worker); at != orders_.end())
    {
        for (const order& each : at->second)
        {
            if (each.run == run && each.incarnation == incarnation)
            {
                return std::nullopt;
            }
            if (each.run == run)
            {
                last = {each.incarnation, each.sent_at};
            }
        }
    }
    return last;
}

void unsettled_order_table::drop_expired(instant now)
{
    while (!by_age_.empty() && now - by_age_.front().sent_at > longest_delay)
    {
        const sent_order& oldest = by_age_.front();
        erase(oldest.worker, oldest.run, oldest.sent_at);
        by_age_.pop_front();
    }
}

void unsettled_order_table::erase(
    const worker_id& worker, const run_ref& run, instant sent_at)
{
    const auto at = orders_.find(worker);
    if (at == orders_.end())
    {
        return;
    }
    const auto found = std::find_if(
        at->second.begin(),
        at->second.end(),
        [&](const order& each)
        { return each.run == run && each.sent_at == sent_at; });
    if (found == at->second.end())
    {
        return;
    }
    if (found->reach == order_reach::any_incarnation)
    {
        const auto bound = bound_.find(run.task);
        if (--bound->second.orders == 0)
        {
            bound_.erase(bound);
        }
        unanswered_ -= found->unanswered ? 1 : 0;
    }
    at->second.erase(found);
    if (at->second.empty())
    {
        orders_.erase(at);
    }
}

} // namespace acaciastile::fleet
