#include "fleet/owner.hpp"

#include <algorithm>
#include <iterator>

namespace acaciastile::fleet
{

void fleet_owner::on_worker_restarted(
    worker_entry& worker,
    instant sent_at,
    std::uint64_t token,
    const worker_status& status)
{
    std::set<run_ref> listed;
    for (const running_run& each : status.running)
    {
        listed.insert({each.task, each.run});
    }
    if (worker.sealed || worker.restart_suspected || !worker.runs.empty())
    {
        ports_.events.emit(
            {event_number::worker_restarted,
             {{"worker", worker.registration.id.str()},
              {"runs", std::to_string(worker.runs.size())}}});
    }
    const std::set<run_ref> unsettled = runs_with_unsettled_start(worker);
    std::set<run_ref> kept = listed;
    kept.insert(unsettled.begin(), unsettled.end());
    for (const auto& [id, run] : worker.runs)
    {
        // The new incarnation may have started it after this report.
        if (run.confirmed >= sent_at)
        {
            kept.insert(id);
        }
    }
    count_crash(worker, listed, presumed_end::worker_restarted);
    end_lost_runs(worker, kept, presumed_end::worker_restarted);
    worker.registration.incarnation = status.incarnation;
    // Calls with a lease for the earlier incarnation may arrive until the
    // present one knows a higher token.
    worker.foreign_lease_expired_at = longest_lease_end(
        worker.lease_sent_at + unsettled_order_table::longest_delay);
    worker.seal_token = token > worker.lease_token || raise_token(worker)
                            ? worker.lease_token + 1
                            : 0;
    workers_.unseal(worker);
    std::set<run_ref> to_stop;
    std::set_difference(
        unsettled.begin(),
        unsettled.end(),
        listed.begin(),
        listed.end(),
        std::inserter(to_stop, to_stop.end()));
    for (const auto& [id, run] : worker.runs)
    {
        // The stop order was for the earlier incarnation.
        if (run.state == run_entry::phase::stopping)
        {
            to_stop.insert(id);
        }
    }
    for (const run_ref& id : to_stop)
    {
        bar_run(worker, id);
    }
    worker.announced_drain =
        worker.described_incarnation == status.incarnation &&
        worker.registration.draining;
    worker.processed = 0;
    worker.acknowledged = 0;
    worker.acknowledgement_sent = 0;
    worker.clock = {};
    worker.clock_requested_at = {};
    worker.lease_until = {};
    worker.quarantined_until = {};
    worker.failures_in_row = 0;
}

std::set<run_ref>
fleet_owner::runs_with_unsettled_start(const worker_entry& worker) const
{
    const auto orders =
        unsettled_orders_.of(worker.registration.id, ports_.clock.now());
    std::set<run_ref> found(orders.begin(), orders.end());
    for (const auto& [id, run] : worker.runs)
    {
        if (run.state == run_entry::phase::starting ||
            run.state == run_entry::phase::uncertain)
        {
            found.insert(id);
        }
    }
    return found;
}

void fleet_owner::bar_run(worker_entry& worker, const run_ref& run)
{
    constexpr std::string_view reason =
        "the worker restarted; its start may still arrive or have arrived";
    if (const auto at = worker.runs.find(run); at != worker.runs.end())
    {
        at->second.state = run_entry::phase::uncertain;
        at->second.stop_answered.reset();
        stop_run(worker, at->second, reason);
        return;
    }
    report_stop(worker, run, reason);
    send_stop(worker.registration.id, run.task, run.run);
}

} // namespace acaciastile::fleet
