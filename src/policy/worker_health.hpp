#pragma once

#include "domain/instant.hpp"
#include "policy/slots.hpp"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// How strongly a failed task indicates a fault of its worker.
enum class blame
{
    none,     ///< The job fails wherever it runs.
    possible, ///< Nothing is known of the job.
    likely,   ///< The job runs well elsewhere.
    certain   ///< The worker itself says so.
};

/// Detects workers that fail every task, quarantines them
/// and probes them with single tasks.
class worker_health
{
public:
    /// Records a failure. Returns true if the worker must be quarantined
    /// or its quarantine is extended after a failed probe.
    [[nodiscard]] bool record_failure(
        worker_slot worker, std::uint64_t job_order, blame what, instant now);

    /// Records a success. Returns true if it ends a quarantine.
    [[nodiscard]] bool record_success(worker_slot worker);

    /// Records a worker restart; a quarantined worker is probed immediately.
    void on_restart(worker_slot worker, instant now);

    [[nodiscard]] bool is_quarantined(worker_slot worker) const;

    /// Quarantined workers whose next probe is due, earliest due time first.
    [[nodiscard]] std::vector<worker_slot> due_probes(instant now) const;
    void probe_started(worker_slot worker);
    /// The probe ended without evidence for or against the worker.
    void probe_inconclusive(worker_slot worker, instant now);

    [[nodiscard]] std::size_t quarantined_count() const noexcept
    {
        return quarantined_count_;
    }

private:
    struct record
    {
        int suspicion = 0;
        std::uint64_t last_job = 0; ///< Order of the job that failed last.
        int last_job_failures = 0;  ///< Failures in a row of that job.
        bool quarantined = false;
        bool probe_running = false;
        milliseconds probe_delay{0};
        instant probe_at{};
    };

    [[nodiscard]] record& at(worker_slot worker);
    void schedule_probe(worker_slot worker, instant when);

    std::vector<record> records_;
    absl::btree_set<std::pair<instant, worker_slot>> probe_queue_;
    std::size_t quarantined_count_ = 0;
};

} // namespace acaciastile::impl
