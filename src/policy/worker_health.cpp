#include "policy/worker_health.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Total evidence weight at which a worker is quarantined.
constexpr int quarantine_threshold = 6;
/// Failures of one job counted per worker, so that one job cannot
/// quarantine a worker on inconclusive evidence.
constexpr int max_counted_failures_per_job = 2;
constexpr milliseconds initial_probe_delay{30'000};
constexpr milliseconds max_probe_delay{900'000};

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

bool worker_health::record_failure(
    worker_slot worker, std::uint64_t job_order, blame what, instant now)
{
    record& known = at(worker);
    if (known.quarantined)
    {
        if (!known.probe_running)
        {
            return false;
        }
        known.probe_running = false;
        known.probe_delay = std::min(known.probe_delay * 2, max_probe_delay);
        schedule_probe(worker, now + known.probe_delay);
        return true;
    }
    if (known.last_job != job_order)
    {
        known.last_job = job_order;
        known.last_job_failures = 0;
    }
    if (++known.last_job_failures > max_counted_failures_per_job)
    {
        return false;
    }
    known.suspicion += weight_of(what);
    if (known.suspicion < quarantine_threshold)
    {
        return false;
    }
    known.quarantined = true;
    known.probe_delay = initial_probe_delay;
    ++quarantined_count_;
    schedule_probe(worker, now + known.probe_delay);
    return true;
}

bool worker_health::record_success(worker_slot worker)
{
    record& known = at(worker);
    known.suspicion = 0;
    known.last_job_failures = 0;
    if (!known.quarantined || !known.probe_running)
    {
        return false;
    }
    probe_queue_.erase({known.probe_at, worker});
    --quarantined_count_;
    known = record{};
    return true;
}

void worker_health::on_restart(worker_slot worker, instant now)
{
    record& known = at(worker);
    known.suspicion = 0;
    if (known.quarantined && !known.probe_running)
    {
        schedule_probe(worker, now);
    }
}

bool worker_health::is_quarantined(worker_slot worker) const
{
    return worker < records_.size() && records_[worker].quarantined;
}

std::vector<worker_slot> worker_health::due_probes(instant now) const
{
    std::vector<worker_slot> found;
    for (const auto& [when, worker] : probe_queue_)
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
    probe_queue_.erase({known.probe_at, worker});
    known.probe_running = true;
}

void worker_health::probe_inconclusive(worker_slot worker, instant now)
{
    record& known = at(worker);
    if (known.quarantined && known.probe_running)
    {
        known.probe_running = false;
        schedule_probe(worker, now);
    }
}

void worker_health::schedule_probe(worker_slot worker, instant when)
{
    record& known = at(worker);
    probe_queue_.erase({known.probe_at, worker});
    known.probe_at = when;
    probe_queue_.emplace(when, worker);
}

} // namespace acaciastile::impl
