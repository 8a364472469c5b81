#include "fleet/owner.hpp"

#include "fleet/event_text.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

void fleet_owner::poll_workers()
{
    for (const worker_handle due : polls_.take_due(ports_.clock.now()))
    {
        if (worker_entry* worker = workers_.at(due))
        {
            poll_if_due(*worker);
        }
    }
}

void fleet_owner::poll_if_due(worker_entry& worker)
{
    // Without a renewal, and if nothing runs, idle workers have to confirm the
    // ownership.
    const bool binds = unsettled_orders_.binds_to(worker.registration.id);
    const bool needed = !worker.sealed || !worker.reachable ||
                        !worker.runs.empty() || binds ||
                        worker.processed > worker.acknowledgement_sent ||
                        (workers_.busy() == 0 && is_renewal_overdue());
    // The end of the call in flight schedules the next poll.
    if (!needed || worker.hold_in_flight ||
        (!worker.listed && worker.runs.empty() && !binds))
    {
        return;
    }
    if (worker.next_hold > ports_.clock.now())
    {
        schedule_poll(worker);
        return;
    }
    poll_worker(worker);
}

void fleet_owner::poll_worker(worker_entry& worker)
{
    const instant now = ports_.clock.now();
    worker.hold_in_flight = true;
    std::optional<worker_instant> lease;
    // Polls to an unreachable worker carry no lease: one that arrives without
    // being answered would extend it and delay the time at which the runs there
    // have certainly ended.
    const bool confirmed = is_confirmed();
    if (confirmed && worker.sealed && worker.reachable && !worker.runs.empty())
    {
        lease = grant_lease(worker, now);
    }
    const bool has_brief_trial =
        worker.trials > 0 &&
        std::any_of(
            worker.runs.begin(),
            worker.runs.end(),
            [](const auto& each)
            { return each.second.trial == run_entry::trial_length::brief; });
    const bool unsettled =
        !confirmed || !worker.reachable || !worker.sealed ||
        worker.processed > worker.acknowledged ||
        // The sooner a later incarnation is polled, the fewer orders of earlier
        // ones it carries out.
        unsettled_orders_.binds_to(worker.registration.id) ||
        std::any_of(
            worker.runs.begin(),
            worker.runs.end(),
            [](const auto& each)
            {
                return each.second.state == run_entry::phase::uncertain ||
                       each.second.state == run_entry::phase::stopping;
            });
    const instant sent = ports_.clock.now_with_suspends();
    const milliseconds wait =
        unsettled              ? milliseconds::zero()
        : has_brief_trial      ? settings_.workers.crash_after_start
        : is_renewal_overdue() ? settings_.status_poll_wait_unconfirmed
                               : settings_.status_poll_wait;
    worker.next_hold =
        now + (unsettled ? settings_.worker_retry_delay : milliseconds::zero());
    // A worker that has restarted under its id would drop ends that nobody has
    // seen. So no number is sent again once the worker has confirmed it, nor
    // before a worker that was out of reach has reported.
    const bool may_acknowledge = worker.reachable && worker.sealed;
    const std::uint64_t acknowledged =
        may_acknowledge && worker.acknowledged > worker.acknowledgement_sent
            ? worker.acknowledged
            : 0;
    const std::uint64_t token = token_of(worker);
    ports_.metrics.count("fleet_holds", "", 1);
    ports_.orders.hold(
        worker.address(),
        token,
        acknowledged,
        lease,
        wait,
        guarded(
            [id = worker.registration.id, now, sent, token, acknowledged](
                fleet_owner& self, const result<worker_status>& status)
            {
                if (worker_entry* polled = self.workers_.find(id);
                    polled != nullptr && status)
                {
                    polled->answered_hold_sent = sent;
                }
                self.on_worker_status(id, now, token, acknowledged, status);
            }));
}

std::uint64_t fleet_owner::token_of(const worker_entry& worker) const
{
    return std::max(token_, worker.token);
}

bool fleet_owner::raise_token(worker_entry& worker)
{
    if (latest_token_ <= worker.lease_token)
    {
        return false;
    }
    worker.token = latest_token_;
    return true;
}

worker_instant fleet_owner::grant_lease(worker_entry& worker, instant now)
{
    worker.lease_token = token_of(worker);
    worker.lease_sent_at = now;
    return workers_.extend_lease(worker, now);
}

instant fleet_owner::longest_lease_end(instant arrived) const
{
    const worker_table_settings& leases = settings_.workers;
    return arrived + leases.by_slowest_clock(leases.longest_lease);
}

void fleet_owner::on_worker_status(
    const worker_id& id,
    instant sent_at,
    std::uint64_t token,
    std::uint64_t acknowledged,
    const result<worker_status>& status)
{
    worker_entry* worker = workers_.find(id);
    if (worker == nullptr)
    {
        return;
    }
    const instant now = ports_.clock.now();
    worker->hold_in_flight = false;
    if (status)
    {
        if (!worker->reachable)
        {
            ports_.events.emit(
                {event_number::worker_regained, {{"worker", id.str()}}});
        }
        worker->acknowledgement_sent =
            std::max(worker->acknowledgement_sent, acknowledged);
        // A restart is judged by what is known of the silence before.
        apply_status(*worker, sent_at, token, *status);
        worker->reachable = true;
        poll_if_due(*worker);
        schedule_round();
        return;
    }
    if (status.error().code == refusal_code::stale_epoch &&
        token < token_of(*worker))
    {
        // The token was raised while the poll was on its way.
        worker->next_hold = now;
        poll_if_due(*worker);
        return;
    }
    if (status.error().code == refusal_code::unknown_worker &&
        !worker->restart_suspected)
    {
        suspect_restart(*worker);
        return;
    }
    if (status.error().code == refusal_code::stale_epoch)
    {
        ports_.step_down(
            "worker " + id.str() +
            " rejected a status poll with a stale token");
        return;
    }
    if (worker->reachable)
    {
        const bool broke = status.error().code == refusal_code::unreachable;
        workers_.set_unreachable(*worker, broke, now);
        schedule_round(); // Stores which runs a crash is to be blamed on.
        ports_.events.emit(
            {event_number::worker_silent,
             {{"worker", id.str()},
              {"address", worker->registration.address},
              {"incarnation", std::to_string(worker->registration.incarnation)},
              {"runs", std::to_string(worker->runs.size())},
              {"lease_left_ms",
               text_of(
                   worker->lease_expired_at == instant::max()
                       ? milliseconds::zero()
                       : worker->lease_expired_at - now)},
              {"reason", status.error().message}}});
    }
    worker->next_hold = now + settings_.worker_retry_delay;
    schedule_poll(*worker);
    ports_.clock.after(
        settings_.worker_retry_delay,
        guarded([](fleet_owner& self) { self.schedule_round(); }));
}

void fleet_owner::suspect_restart(worker_entry& worker)
{
    worker.restart_suspected = true;
    workers_.unseal(worker);
    worker.next_hold = ports_.clock.now();
    poll_if_due(worker);
}

} // namespace acaciastile::fleet
