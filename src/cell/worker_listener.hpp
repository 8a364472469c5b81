#pragma once

#include "platform/worker_gateway.hpp"

namespace acaciastile
{

/// Receives the events of a worker_link. Each event follows from the worker's
/// own report, the expiry of its lease or an operator declaring it dead.
class worker_listener
{
public:
    virtual ~worker_listener() = default;

    /// The worker accepted this owner's epoch and reported its attempts.
    virtual void on_sealed(const worker_id& worker) = 0;
    /// The worker became reachable or unreachable, or is shutting down
    /// (`leaving`).
    virtual void
    on_reachable(const worker_id& worker, bool reachable, bool leaving) = 0;
    /// The first report that lists the attempt as running.
    virtual void on_started(const worker_id& worker, const attempt_id&) = 0;
    virtual void on_usage(const attempt_id&, const resources& usage) = 0;
    /// Repeated with every report until the owner calls
    /// `worker_link::forget`.
    virtual void on_ended(const worker_id& worker, const ended_attempt&) = 0;
    /// The attempt did not run: the worker refused the start, or the start
    /// was never sent before the lease expired.
    virtual void on_refused(
        const worker_id& worker, const attempt_id&, refusal_code code) = 0;
    /// The worker does not know the attempt: it has ended or, if this owner
    /// never sent its start, may never have begun.
    virtual void on_missing(const worker_id& worker, const attempt_id&) = 0;
    /// The worker runs an attempt that this owner does not know.
    virtual void
    on_unknown_attempt(const worker_id& worker, const attempt_id&) = 0;
    /// The attempt no longer runs: its lease has expired even under the
    /// largest allowed clock drift, or the worker was declared dead.
    virtual void on_lapsed(const worker_id& worker, const attempt_id&) = 0;
    /// A newer owner has sealed the worker with a higher epoch.
    virtual void on_epoch_lost(const worker_id& worker) = 0;
};

} // namespace acaciastile
