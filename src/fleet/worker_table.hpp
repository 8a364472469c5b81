#pragma once

#include "fleet/crash_record.hpp"
#include "fleet/ports.hpp"
#include "fleet/worker_set.hpp"
#include "policy/fit_index.hpp"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    /// The worker has accepted its order or listed it, as far as this owner or
    /// the record of an earlier one knows.
    bool begun = false;
    resources needs; ///< Resources that it occupies.
    /// False for a run whose job is not known or was deleted.
    bool needs_known = true;
    account_name account;
    std::string checkpoint;
    double percent = 0; ///< Progress as reported by the worker.
    instant started{};
    /// This owner has started it, from the beginning of its work.
    bool is_timed = false;
    /// Status reports requested before this time may not list the run.
    instant confirmed{};
    /// Number of the last status report of the worker that listed the run.
    std::uint64_t listed_in = 0;
    /// When the stop order was answered. Status reports requested later tell
    /// whether the run has ever started.
    std::optional<instant> stop_answered;

    /// How long no other run may start beside it, so that it alone is to blame
    /// for a crash.
    enum class trial_length : std::uint8_t
    {
        none,
        brief, ///< Until `worker_table::is_settled`.
        until_end
    };
    trial_length trial = trial_length::none;
    /// The worker's clock when the run was first known to be there.
    std::optional<worker_instant> alive_at;
    /// Its order got no answer, but went out just after the worker had answered
    /// (`start_order::after_answer`).
    bool sent_to_live_worker = false;
    instant alive_noted{}; ///< When that was known, on this VM's clock.
    bool noted = false;    ///< Is in the `noted_run_table`.
    /// What an earlier owner has recorded for the case of a crash.
    std::optional<crash_blame> recorded_blame;
};

/// A worker with its runs, its lease and the ended runs that it has reported.
struct worker_entry
{
    worker_handle handle = 0;
    worker_registration registration;
    /// Incarnation that the capacity, labels and rack of `registration` belong
    /// to. A restarted worker may differ in them, and may report its status
    /// before it registers.
    std::uint64_t described_incarnation = 0;
    bool listed = true; ///< The registry has an entry for it.
    /// If not listed: offset in the registry at which its entry was removed.
    log_offset dropped_at = 0;
    /// The store may hold an `absence_record` of the runs that may exist there.
    /// Nothing is started on the worker until that record is deleted.
    bool has_absence_record = false;
    /// Offset in the registry of the latest entry of the worker.
    log_offset described_at = 0;
    /// The most that its described incarnation has had of each resource, as far
    /// as is known. Its capacity may have shrunk under its runs.
    resources largest_capacity;
    bool evacuated = false; ///< Its data centre is; nothing is started on it.
    /// Until when it is slow after its start, on this VM's clock.
    instant cold_until{};
    /// Its known incarnation has announced that it drains.
    bool announced_drain = false;
    /// Earlier workers at its address.
    std::vector<worker_id> predecessors;
    /// Runs that were lost when its lease expired, in case that it crashed.
    std::vector<blamed_run> lapsed_runs;
    bool sealed = false;    ///< The worker knows this owner's token.
    bool reachable = true;  ///< It answered the last call.
    instant silent_since{}; ///< If not reachable: since then.
    /// If not reachable: a connection broke first. Else it was silent before.
    bool connection_broke = false;
    /// Another incarnation than the known one has refused a call and has not
    /// reported yet. Until then it gets neither lease nor acknowledgements.
    bool restart_suspected = false;
    /// Is in `worker_table::out_of_sight`.
    bool out_of_sight = false;
    resources used; ///< By its runs whose needs are known.
    std::uint32_t runs_of_unknown_needs = 0;
    std::uint32_t trials = 0; ///< Number of its runs on trial.
    absl::flat_hash_map<run_ref, run_entry> runs;

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
    /// By when a lease has expired for certain that a call of an earlier owner
    /// or for an earlier incarnation may have granted.
    instant foreign_lease_expired_at{};

    /// Token of the calls to it, if higher than that of the owner's claim. It
    /// is raised when the worker restarts: the new incarnation then rejects
    /// calls for the earlier one that arrive late.
    std::uint64_t token = 0;
    std::uint64_t lease_token = 0; ///< Token of the last call with a lease.
    instant lease_sent_at{};       ///< When that call was sent.
    /// Lowest token of the status poll that seals the present incarnation.
    std::uint64_t seal_token = 0;

    std::uint32_t failures_in_row = 0; ///< Consecutive failed runs.
    instant quarantined_until{};

    bool hold_in_flight = false; ///< A call of `worker_orders::hold`.
    /// When the last such call that was answered was sent, by
    /// `scheduler_clock::now_with_suspends`.
    std::optional<instant> answered_hold_sent;
    /// When its last runs were lost because their lease had expired, by the
    /// same clock.
    std::optional<instant> lost_runs_at;
    instant next_hold{};            ///< Earliest time of the next such call.
    std::uint64_t status_count = 0; ///< Number of status reports applied.
    bool ends_pending = false; ///< Is in `worker_table::take_pending_ends`.

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
    /// Workers shorten longer leases to this.
    milliseconds longest_lease{10'000};
    /// Lowest assumed speed of a worker's clock relative to this VM's clock.
    double slowest_clock = 0.98;
    /// Consecutive failed runs, of any jobs, that put a worker in quarantine.
    std::uint32_t failures_to_quarantine = 3;
    /// How long nothing is started on a worker in quarantine.
    milliseconds quarantine{4'000};
    /// A task that crashes its worker does so within this time of its start, on
    /// the worker's clock.
    milliseconds crash_after_start{100};
    /// By then the connections to that worker have broken, on this VM's clock.
    /// If they break later, something else may have crashed it.
    milliseconds crash_noticed{150};

    /// Longest time on this VM's clock in which a worker's clock advances by
    /// `span`.
    [[nodiscard]] milliseconds by_slowest_clock(milliseconds span) const
    {
        return milliseconds(static_cast<milliseconds::rep>(
            static_cast<double>(span.count()) / slowest_clock));
    }
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

    /// All workers, in the order in which they were added.
    [[nodiscard]] const std::vector<worker_entry*>& all() const noexcept
    {
        return all_;
    }
    [[nodiscard]] worker_entry* find(const worker_id& id) const;
    /// The worker with this handle; null if it was forgotten.
    [[nodiscard]] worker_entry* at(worker_handle handle) const noexcept
    {
        return handle < by_handle_.size() ? by_handle_[handle] : nullptr;
    }
    /// Upper bound of all handles.
    [[nodiscard]] std::size_t handle_count() const noexcept
    {
        return by_handle_.size();
    }

    /// Rises when a worker joins or leaves the registry, or has another
    /// service, capacity or other labels than before.
    [[nodiscard]] std::uint64_t abilities_version() const noexcept
    {
        return abilities_version_;
    }
    /// Free capacity of a service's workers, whether usable or not; null if the
    /// service has none.
    [[nodiscard]] const impl::fit_index*
    free_capacity(const service_name& service) const;
    /// Workers of a rack; empty if it has none.
    [[nodiscard]] const std::vector<worker_entry*>&
    in_rack(const rack_name& rack) const;

    /// Workers that were lost from sight and are not known to be back:
    /// unlisted, unreachable or not sealed. May contain some that are in sight
    /// again.
    [[nodiscard]] const std::vector<worker_entry*>&
    out_of_sight() const noexcept
    {
        return out_of_sight_;
    }
    /// Removes from `out_of_sight` the workers that are in sight and for which
    /// `is_settled` returns true.
    void prune_out_of_sight(
        const std::function<bool(const worker_entry&)>& is_settled);
    /// `broke`: a connection to it broke, or none could be made. Otherwise a
    /// call got no response in time.
    void set_unreachable(worker_entry& worker, bool broke, instant now);
    void unseal(worker_entry& worker);
    /// Marks the worker for another look by whoever handles `out_of_sight`.
    void add_out_of_sight(worker_entry& worker);

    /// Notes that an end which the worker has reported was processed.
    void note_processed(worker_entry& worker, std::uint64_t number);
    /// Returns the workers with processed ends since the last call.
    [[nodiscard]] std::vector<worker_entry*> take_pending_ends();

    /// Records a registration that the registry holds at an offset. Returns
    /// true if the worker is new or was restarted.
    bool upsert(const worker_registration& registration, log_offset offset = 0);

    /// Records that the registry removed the worker's entry at that offset.
    void unlist(const worker_id& id, log_offset dropped_at);

    /// Marks the workers of data centres that are evacuated, also those that
    /// are registered later.
    void set_evacuated(std::set<data_centre_name> evacuated);

    /// Adds a worker that is known only from the absence record of a previous
    /// owner.
    worker_entry&
    add_unlisted(const worker_address& address, log_offset dropped_at);

    /// Drops unlisted workers that have no runs and for which `may_forget`
    /// returns true. Returns their ids.
    [[nodiscard]] std::vector<worker_id>
    forget_unlisted(const std::function<bool(const worker_entry&)>& may_forget);

    /// True if a crash of the worker from now on would not be blamed on the
    /// run, as it has gone on for a while.
    [[nodiscard]] bool
    is_settled(const worker_entry& worker, const run_entry& run) const;
    /// True if all runs of the worker are settled.
    [[nodiscard]] bool is_quiet(const worker_entry& worker) const;
    /// What a crash of the worker since its last answer says of its runs;
    /// leaves out those that are not known to have been there.
    [[nodiscard]] std::vector<blamed_run>
    blame(const worker_entry& worker) const;
    /// Runs of which it is not known whether their start came before a crash of
    /// the worker since its last answer: the worker may have crashed before.
    [[nodiscard]] std::vector<run_ref>
    unproven(const worker_entry& worker) const;
    /// Ends the brief trial of a run that is settled.
    void end_trial(worker_entry& worker, run_entry& run);

    /// True if runs may be started on the worker.
    [[nodiscard]] bool is_usable(const worker_entry& worker, instant now) const;

    /// What the worker's clock tells at least at an instant, before or after
    /// its last reading arrived, unless the worker has restarted.
    [[nodiscard]] worker_instant
    lowest_clock(const worker_entry& worker, instant at) const;

    /// True if a reading that was requested at an instant shows that the
    /// worker's clock started anew. Readings are whole milliseconds.
    [[nodiscard]] bool is_clock_reset(
        const worker_entry& worker, worker_instant clock, instant asked) const;

    /// Computes the lease to send to the worker now, on the worker's clock. It
    /// is recorded as granted, since the call that carries it may arrive even
    /// if it is not answered.
    [[nodiscard]] worker_instant
    extend_lease(worker_entry& worker, instant now);

    /// Records a reading of the worker's clock that was requested at `asked`.
    /// Ignores readings that are older than the current one.
    void note_clock(
        worker_entry& worker, worker_instant clock, instant asked, instant now);

    /// Adds a run unless it is known already.
    void add_run(worker_entry& worker, run_entry run);
    /// Removes a run and frees its resources. Returns false if there is no such
    /// run.
    bool remove_run(worker_entry& worker, const task_ref& task, run_number run);

    /// Number of workers that have runs.
    [[nodiscard]] std::size_t busy() const noexcept { return busy_; }

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
    [[nodiscard]] worker_entry& create(const worker_id& id);
    /// Removes the worker from the indexes by service and rack.
    void unindex(const worker_entry& worker);
    /// Adds the worker to the indexes by service and rack.
    void index(worker_entry& worker);
    void update_free(const worker_entry& worker);
    /// True if the run has begun, or its order has reached the living worker.
    [[nodiscard]] static bool is_known_there(const run_entry& run)
    {
        return run.recorded_blame || run.alive_at || run.sent_to_live_worker;
    }
    /// True if a crash of the worker may have followed the run's start at once.
    [[nodiscard]] bool
    has_just_started(const worker_entry& worker, const run_entry& run) const;
    /// Finds earlier workers at the worker's address, or the later one of which
    /// it is a predecessor.
    void note_address(worker_entry& worker);

    worker_table_settings settings_;
    absl::flat_hash_map<worker_id, std::unique_ptr<worker_entry>> workers_;
    std::vector<worker_entry*> all_;
    std::vector<worker_entry*> by_handle_;
    std::vector<worker_entry*> out_of_sight_;
    std::vector<worker_entry*> pending_ends_;
    std::map<service_name, std::unique_ptr<impl::fit_index>> free_;
    absl::flat_hash_map<rack_name, std::vector<worker_entry*>> racks_;
    std::set<data_centre_name> evacuated_;
    absl::flat_hash_map<account_name, resources> account_use_;
    /// The latest worker at each address.
    absl::flat_hash_map<std::string, worker_handle> by_address_;
    std::size_t busy_ = 0;
    std::uint64_t abilities_version_ = 1;
};

} // namespace acaciastile::fleet
