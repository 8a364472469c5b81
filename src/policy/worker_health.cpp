#include "policy/worker_health.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Suspicion at which a worker is barred, in the weights below.
constexpr int suspicion_bound = 6;
/// Failures of one job on one worker that count, so that a single job cannot
/// bar a worker by what is only possible.
constexpr int counted_of_job = 2;
constexpr milliseconds first_wait{30'000};
constexpr milliseconds longest_wait{900'000};

constexpr int weight_of(blame what) noexcept
{
    switch (what)
    {
    case blame::none:
        return 0;
    case blame::possible:
        return 1;
    case blame::likely:
        return 2;
    case blame::certain:
        return 3;
    }
    return 0;
}

} // namespace

worker_health::record& worker_health::at(worker_slot worker)
{
    if (records_.size() <= worker)
    {
        records_.resize(worker + 1);
    }
    return records_[worker];
}

bool worker_health::failed(
    worker_slot worker, std::uint64_t job_order, blame what, instant now)
{
    record& known = at(worker);
    if (known.barred)
    {
        if (!known.probing)
        {
            return false;
        }
        known.probing = false;
        known.wait = std::min(known.wait * 2, longest_wait);
        set_due(worker, now + known.wait);
        return true;
    }
    if (known.last_job != job_order)
    {
        known.last_job = job_order;
        known.of_last_job = 0;
    }
    if (++known.of_last_job > counted_of_job)
    {
        return false;
    }
    known.suspicion += weight_of(what);
    if (known.suspicion < suspicion_bound)
    {
        return false;
    }
    known.barred = true;
    known.wait = first_wait;
    ++barred_;
    set_due(worker, now + known.wait);
    return true;
}

bool worker_health::succeeded(worker_slot worker)
{
    record& known = at(worker);
    known.suspicion = 0;
    known.of_last_job = 0;
    if (!known.barred || !known.probing)
    {
        return false;
    }
    due_.erase({known.due, worker});
    --barred_;
    known = record{};
    return true;
}

void worker_health::restarted(worker_slot worker, instant now)
{
    record& known = at(worker);
    known.suspicion = 0;
    if (known.barred && !known.probing)
    {
        set_due(worker, now);
    }
}

bool worker_health::is_barred(worker_slot worker) const
{
    return worker < records_.size() && records_[worker].barred;
}

std::vector<worker_slot> worker_health::due(instant now) const
{
    std::vector<worker_slot> found;
    for (const auto& [when, worker] : due_)
    {
        if (when > now)
        {
            break;
        }
        found.push_back(worker);
    }
    return found;
}

void worker_health::probe_started(worker_slot worker)
{
    record& known = at(worker);
    due_.erase({known.due, worker});
    known.probing = true;
}

void worker_health::probe_void(worker_slot worker, instant now)
{
    record& known = at(worker);
    if (known.barred && known.probing)
    {
        known.probing = false;
        set_due(worker, now);
    }
}

void worker_health::set_due(worker_slot worker, instant when)
{
    record& known = at(worker);
    due_.erase({known.due, worker});
    known.due = when;
    due_.emplace(when, worker);
}

} // namespace acaciastile::impl
