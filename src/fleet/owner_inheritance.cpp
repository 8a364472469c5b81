#include "fleet/owner.hpp"

namespace acaciastile::fleet
{

void fleet_owner::read_predecessor_jobs()
{
    read_jobs_now(
        [this](const result<void>& read)
        {
            if (!read)
            {
                later(
                    settings_.store_retry_delay,
                    &fleet_owner::read_predecessor_jobs);
                return;
            }
            predecessor_jobs_read_ = true;
        });
}

bool fleet_owner::may_be_inherited()
{
    return !predecessor_jobs_read_ && !inherited_may_start();
}

bool fleet_owner::inherited_may_start()
{
    if (inherited_cleared_)
    {
        return true;
    }
    std::erase_if(
        unsealed_workers_,
        [&](const worker_id& id)
        {
            const worker_entry* worker = workers_.find(id);
            return worker != nullptr && worker->sealed;
        });
    inherited_cleared_ = unsealed_workers_.empty() ||
                         ports_.clock.now() >= inherited_leases_end_;
    return inherited_cleared_;
}

std::optional<resources> fleet_owner::unheard_capacity() const
{
    resources sum;
    for (const worker_id& id : unsealed_workers_)
    {
        if (workers_.find(id) != nullptr)
        {
            continue; // Counted below.
        }
        const auto expired = expired_capacities_.find(id);
        if (expired == expired_capacities_.end())
        {
            return std::nullopt;
        }
        sum += expired->second;
    }
    for (const worker_entry* worker : workers_.out_of_sight())
    {
        // Of a worker with a record, at most the recorded runs are active, and
        // they are counted already.
        if (worker->sealed || worker->has_absence_record)
        {
            continue;
        }
        if (worker->described_incarnation == 0 ||
            worker->described_incarnation != worker->registration.incarnation)
        {
            return std::nullopt; // It may have another capacity.
        }
        sum += worker->largest_capacity;
    }
    return sum;
}

} // namespace acaciastile::fleet
