#include "fleet/worker_table.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

bool worker_entry::has_label(const std::string& label) const
{
    return std::find(
               registration.labels.begin(), registration.labels.end(), label) !=
           registration.labels.end();
}

worker_entry* worker_table::find(const worker_id& id)
{
    const auto at = workers_.find(id);
    return at == workers_.end() ? nullptr : at->second.get();
}

bool worker_table::upsert(const worker_registration& registration)
{
    auto& entry = workers_[registration.id];
    if (entry == nullptr)
    {
        entry = std::make_unique<worker_entry>();
        entry->registration = registration;
        return true;
    }
    entry->listed = true;
    if (registration.incarnation < entry->registration.incarnation)
    {
        return false; // Registration of an earlier incarnation.
    }
    // The runs belong to the known incarnation, which changes only when the
    // worker itself reports a new one.
    const std::uint64_t incarnation = entry->registration.incarnation;
    entry->registration = registration;
    entry->registration.incarnation = incarnation;
    return registration.incarnation != incarnation;
}

void worker_table::unlist(const worker_id& id, log_offset dropped_at)
{
    if (worker_entry* found = find(id))
    {
        found->listed = false;
        found->dropped_at = dropped_at;
    }
}

worker_entry&
worker_table::add_unlisted(const worker_address& address, log_offset dropped_at)
{
    auto& entry = workers_[address.id];
    entry = std::make_unique<worker_entry>();
    entry->registration.id = address.id;
    entry->registration.address = address.address;
    entry->registration.incarnation = address.incarnation;
    entry->listed = false;
    entry->dropped_at = dropped_at;
    return *entry;
}

std::vector<worker_id>
worker_table::forget_unlisted(const std::function<bool(log_offset)>& is_past)
{
    std::vector<worker_id> forgotten;
    std::erase_if(
        workers_,
        [&](const auto& each)
        {
            const worker_entry& worker = *each.second;
            if (worker.listed || !worker.runs.empty() ||
                worker.hold_in_flight || !is_past(worker.dropped_at))
            {
                return false;
            }
            forgotten.push_back(each.first);
            return true;
        });
    return forgotten;
}

bool worker_table::is_usable(const worker_entry& worker, instant now) const
{
    return worker.listed && worker.sealed && worker.reachable &&
           !worker.has_absence_record && !worker.registration.draining &&
           worker.quarantined_until <= now;
}

worker_instant worker_table::extend_lease(worker_entry& worker, instant now)
{
    const milliseconds since = now - worker.clock_received_at;
    const worker_instant until = worker.clock + since + settings_.lease;
    worker.lease_until = std::max(worker.lease_until, until);
    const auto left = worker.lease_until - worker.clock;
    const milliseconds longest(static_cast<milliseconds::rep>(
        static_cast<double>(left.count()) / settings_.slowest_clock));
    worker.lease_expired_at = worker.clock_received_at + longest;
    return until;
}

void worker_table::note_clock(
    worker_entry& worker, worker_instant clock, instant asked, instant now)
{
    if (clock < worker.clock || asked < worker.clock_requested_at)
    {
        return; // The response was overtaken by a later one.
    }
    worker.clock = clock;
    worker.clock_received_at = now;
    worker.clock_requested_at = asked;
}

void worker_table::add_run(worker_entry& worker, run_entry run)
{
    worker.used += run.needs;
    account_use_[run.account] += run.needs;
    const task_ref task = run.task;
    worker.runs.insert_or_assign(task, std::move(run));
}

bool worker_table::remove_run(
    worker_entry& worker, const task_ref& task, run_number run)
{
    const auto at = worker.runs.find(task);
    if (at == worker.runs.end() || at->second.run != run)
    {
        return false;
    }
    worker.used -= at->second.needs;
    account_use_[at->second.account] -= at->second.needs;
    worker.runs.erase(at);
    return true;
}

const resources& worker_table::used_by(const account_name& account) const
{
    static const resources none;
    const auto at = account_use_.find(account);
    return at == account_use_.end() ? none : at->second;
}

void worker_table::note_success(worker_entry& worker)
{
    worker.failures_in_row = 0;
}

bool worker_table::note_failure(worker_entry& worker, instant now)
{
    ++worker.failures_in_row;
    if (worker.failures_in_row < settings_.failures_to_quarantine)
    {
        return false;
    }
    worker.quarantined_until = now + settings_.quarantine;
    return true;
}

} // namespace acaciastile::fleet
