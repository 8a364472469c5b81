#pragma once

#include "fleet/ports.hpp"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// A run that occupies resources of a worker until it is known to have ended.
struct run_entry
{
    enum class phase
    {
        starting,  ///< The start order was sent and has no response yet.
        uncertain, ///< The response to the start order was lost.
        running,
        stopping ///< A stop order was sent or will be sent.
    };
    task_ref task;
    run_number run = 0;
    phase state = phase::starting;
    resources needs; ///< Resources that it occupies.
    account_name account;
    std::string checkpoint;
    double percent = 0; ///< Progress as reported by the worker.
    instant started{};
    /// Status reports requested before this time may not list the run.
    instant confirmed{};
    /// When the stop order was answered. Status reports requested later tell
    /// whether the run has ever started.
    std::optional<instant> stop_answered;
};

/// A worker with its runs, its lease and the ended runs that it has reported.
struct worker_entry
{
    worker_registration registration;
    bool listed = true; ///< The registry has an entry for it.
    /// If not listed: offset in the registry at which its entry was removed.
    log_offset dropped_at = 0;
    /// The store holds an `absence_record` of the runs that may exist there.
    /// Nothing is started on the worker until that record is deleted.
    bool has_absence_record = false;
    bool sealed = false;   ///< The worker knows this owner's token.
    bool reachable = true; ///< It answered the last call.
    resources used;        ///< By its runs.
    absl::flat_hash_map<task_ref, run_entry> runs;

    // Positions in the worker's list of ended runs.
    /// Last entry that was processed.
    std::uint64_t processed = 0;
    /// Last entry whose effect is stored.
    std::uint64_t acknowledged = 0;
    /// Last entry that the worker was told to drop.
    std::uint64_t acknowledgement_sent = 0;

    worker_instant clock{};      ///< The worker's clock at `clock_received_at`.
    instant clock_received_at{}; ///< When that reading arrived.
    instant clock_requested_at{}; ///< When it was requested.
    worker_instant lease_until{}; ///< Latest lease that was sent.
    /// By when that lease has expired for certain, on this VM's clock.
    instant lease_expired_at = instant::max();

    std::uint32_t failures_in_row = 0; ///< Consecutive failed runs.
    instant quarantined_until{};

    bool hold_in_flight = false; ///< A call of `worker_orders::hold`.
    instant next_hold{};         ///< Earliest time of the next such call.

    [[nodiscard]] worker_address address() const
    {
        return {
            registration.id, registration.address, registration.incarnation};
    }
    [[nodiscard]] resources free_resources() const
    {
        return registration.capacity - used;
    }
    [[nodiscard]] bool has_label(const std::string& label) const;
};

/// Parameters of leases and quarantine.
struct worker_table_settings
{
    /// How long a run may continue without contact to the owner.
    milliseconds lease{5'000};
    /// Lowest assumed speed of a worker's clock relative to this VM's clock.
    double slowest_clock = 0.98;
    /// Consecutive failed runs, of any jobs, that put a worker in quarantine.
    std::uint32_t failures_to_quarantine = 3;
    /// How long nothing is started on a worker in quarantine.
    milliseconds quarantine{4'000};
};

/// The workers of all services with their free resources, leases and runs.
/// Does no I/O.
class worker_table
{
public:
    explicit worker_table(worker_table_settings settings = {})
        : settings_(settings)
    {
    }

    using entry_map = std::map<worker_id, std::unique_ptr<worker_entry>>;

    [[nodiscard]] entry_map& all() noexcept { return workers_; }
    [[nodiscard]] const entry_map& all() const noexcept { return workers_; }
    [[nodiscard]] worker_entry* find(const worker_id& id);

    /// Records a registration. Returns true if the worker is new or was
    /// restarted.
    bool upsert(const worker_registration& registration);

    /// Records that the registry removed the worker's entry at that offset.
    void unlist(const worker_id& id, log_offset dropped_at);

    /// Adds a worker that is known only from the absence record of a previous
    /// owner.
    worker_entry&
    add_unlisted(const worker_address& address, log_offset dropped_at);

    /// Drops unlisted workers that have no runs and for which `is_past` returns
    /// true for the offset of their removal. Returns their ids.
    [[nodiscard]] std::vector<worker_id>
    forget_unlisted(const std::function<bool(log_offset)>& is_past);

    /// True if runs may be started on the worker.
    [[nodiscard]] bool is_usable(const worker_entry& worker, instant now) const;

    /// Computes the lease to send to the worker now, on the worker's clock. It
    /// is recorded as granted, since the call that carries it may arrive even
    /// if it is not answered.
    [[nodiscard]] worker_instant
    extend_lease(worker_entry& worker, instant now);

    /// Records a reading of the worker's clock that was requested at `asked`.
    /// Ignores readings that are older than the current one.
    void note_clock(
        worker_entry& worker, worker_instant clock, instant asked, instant now);

    void add_run(worker_entry& worker, run_entry run);
    /// Removes a run and frees its resources. Returns false if there is no such
    /// run.
    bool remove_run(worker_entry& worker, const task_ref& task, run_number run);

    /// Resources that the account's runs occupy on all workers.
    [[nodiscard]] const resources& used_by(const account_name& account) const;

    /// Resets the worker's count of consecutive failed runs.
    void note_success(worker_entry& worker);
    /// Counts a failed run. Returns true if this puts the worker in quarantine.
    bool note_failure(worker_entry& worker, instant now);

    [[nodiscard]] const worker_table_settings& settings() const noexcept
    {
        return settings_;
    }

private:
    worker_table_settings settings_;
    entry_map workers_;
    std::map<account_name, resources> account_use_;
};

} // namespace acaciastile::fleet
