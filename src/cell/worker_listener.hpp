#pragma once

#include "platform/worker_gateway.hpp"

namespace acaciastile
{

/// Hears what a worker_link learns. Everything told here is proven by the
/// worker's own report or by the lapse of its lease.
class worker_listener
{
public:
    virtual ~worker_listener() = default;

    /// The worker took this owner's epoch and told what runs on it.
    virtual void on_sealed(const worker_id& worker) = 0;
    /// It answers (again) or does not, or says that it leaves.
    virtual void
    on_reachable(const worker_id& worker, bool reachable, bool leaving) = 0;
    /// The attempt was seen running for the first time.
    virtual void on_started(const worker_id& worker, const attempt_id&) = 0;
    virtual void on_usage(const attempt_id&, const resources& usage) = 0;
    /// Told with every report until the attempt is forgotten.
    virtual void on_ended(const worker_id& worker, const ended_attempt&) = 0;
    /// The worker refused the start: it was not run.
    virtual void on_refused(
        const worker_id& worker, const attempt_id&, refusal_code code) = 0;
    /// The worker does not know the attempt: it ended, or, where no start of
    /// it was ever sent by this owner, perhaps never began.
    virtual void on_missing(const worker_id& worker, const attempt_id&) = 0;
    /// The worker runs something that this owner does not know.
    virtual void on_stray(const worker_id& worker, const attempt_id&) = 0;
    /// The lease surely lapsed: the attempt runs no longer.
    virtual void on_lapsed(const worker_id& worker, const attempt_id&) = 0;
    /// A newer owner has sealed the worker.
    virtual void on_epoch_lost(const worker_id& worker) = 0;
};

} // namespace acaciastile
