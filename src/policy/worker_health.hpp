#pragma once

#include "domain/instant.hpp"
#include "policy/slots.hpp"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// What a failure says of the worker it happened on.
enum class blame
{
    none,     ///< The job fails wherever it runs.
    possible, ///< Nothing is known of the job.
    likely,   ///< The job runs well elsewhere.
    certain   ///< The worker itself says so.
};

/// Finds workers that fail everything they start, keeps work away from them
/// and probes them with single tasks.
class worker_health
{
public:
    /// Takes note of a failure. Returns true where the worker is to be barred
    /// from now on, or barred for longer after a probe.
    [[nodiscard]] bool record_failure(
        worker_slot worker, std::uint64_t job_order, blame what, instant now);

    /// Takes note of a success. Returns true where it ends a quarantine.
    [[nodiscard]] bool record_success(worker_slot worker);

    /// The worker starts anew: a quarantined one is probed at once.
    void on_restart(worker_slot worker, instant now);

    [[nodiscard]] bool is_quarantined(worker_slot worker) const;

    /// Barred workers whose next probe is due, the longest due first.
    [[nodiscard]] std::vector<worker_slot> due_probes(instant now) const;
    void probe_started(worker_slot worker);
    /// The probe ended without telling anything.
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
