#include "policy/job_table.hpp"

namespace acaciastile::impl
{

queue_policy queue_policy_of(const rules& in_force, const queue_name& queue)
{
    const queue_rule* rule = in_force.find(queue);
    if (rule == nullptr)
    {
        return {};
    }
    return {rule->policy, rule->preemptible, rule->oversubscribe};
}

job_slot job_table::open(const job_request& request)
{
    job_slot known = find(request.job);
    if (known != no_slot)
    {
        return known;
    }
    if (unused_.empty())
    {
        unused_.push_back(static_cast<job_slot>(jobs_.size()));
        jobs_.emplace_back();
    }
    job_slot slot = unused_.back();
    unused_.pop_back();
    job_entry& entry = jobs_[slot];
    entry.request = request;
    entry.request.waiting.clear();
    entry.order = next_order_++;
    by_id_.emplace(request.job, slot);
    return slot;
}

job_slot job_table::find(const job_id& job) const
{
    auto at = by_id_.find(job);
    return at == by_id_.end() ? no_slot : at->second;
}

void job_table::close(job_slot slot)
{
    by_id_.erase(jobs_[slot].request.job);
    jobs_[slot] = job_entry{};
    unused_.push_back(slot);
}

} // namespace acaciastile::impl
