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
    [[nodiscard]] bool failed(
        worker_slot worker, std::uint64_t job_order, blame what, instant now);

    /// Takes note of a success. Returns true where it ends a quarantine.
    [[nodiscard]] bool succeeded(worker_slot worker);

    /// The worker starts anew: a quarantined one is probed at once.
    void restarted(worker_slot worker, instant now);

    [[nodiscard]] bool is_barred(worker_slot worker) const;

    /// Barred workers whose next probe is due, the longest due first.
    [[nodiscard]] std::vector<worker_slot> due(instant now) const;
    void probe_started(worker_slot worker);
    /// The probe ended without telling anything.
    void probe_void(worker_slot worker, instant now);

    [[nodiscard]] std::size_t barred() const noexcept { return barred_; }

private:
    struct record
    {
        int suspicion = 0;
        std::uint64_t last_job = 0; ///< Order of the job that failed last.
        int of_last_job = 0;        ///< Failures in a row of that job.
        bool barred = false;
        bool probing = false;
        milliseconds wait{0};
        instant due{};
    };

    [[nodiscard]] record& at(worker_slot worker);
    void set_due(worker_slot worker, instant when);

    std::vector<record> records_;
    absl::btree_set<std::pair<instant, worker_slot>> due_;
    std::size_t barred_ = 0;
};

} // namespace acaciastile::impl
