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

/// One run that occupies room on a worker until its end is proven.
struct run_entry
{
    enum class phase
    {
        starting,  ///< Ordered; no answer yet.
        uncertain, ///< The answer of the start was lost.
        running,
        stopping ///< Told to stop, or to be told.
    };
    task_ref task;
    run_number run = 0;
    phase state = phase::starting;
    resources needs; ///< What it takes of the worker's room.
    account_name account;
    std::string checkpoint;
    double percent = 0;
    instant started{};
    /// Lists asked for before this instant may miss the run.
    instant confirmed{};
    /// A stop was answered; lists asked for later settle whether it ever ran.
    std::optional<instant> stop_answered;
};

/// A worker, what runs there and how far its ends are taken note of.
struct worker_entry
{
    worker_registration about;
    bool listed = true; ///< In the registry.
    /// Offset in the registry at which it was dropped; where it is not listed.
    log_offset dropped_at = 0;
    /// The store has a note of what may run there at most; nothing is started
    /// until that is taken back.
    bool has_absence_record = false;
    bool sealed = false;   ///< Has seen this owner's token.
    bool reachable = true; ///< The last call was answered.
    resources used;
    absl::flat_hash_map<task_ref, run_entry> runs;

    std::uint64_t processed = 0;    ///< Highest end that was taken in.
    std::uint64_t acknowledged = 0; ///< Highest end whose effect is stored.
    std::uint64_t acknowledgement_sent =
        0; ///< Highest end that it was told to forget.

    worker_instant clock{};       ///< As of `clock_received_at`.
    instant clock_received_at{};  ///< When the answer with the clock came.
    instant clock_requested_at{}; ///< When the call that gave it was sent.
    worker_instant lease_until{}; ///< Latest lease that any order carried.
    instant lease_expired_at =
        instant::max(); ///< When that lease has surely ended.

    std::uint32_t failures_in_row = 0;
    instant quarantined_until{};

    bool hold_in_flight = false;
    instant next_hold{};

    [[nodiscard]] worker_address address() const
    {
        return {about.id, about.address, about.incarnation};
    }
    [[nodiscard]] resources room() const { return about.capacity - used; }
    [[nodiscard]] bool has_label(const std::string& label) const;
};

struct worker_table_settings
{
    /// How long a run may go on without word from its owner.
    milliseconds lease{5'000};
    /// Slowest a worker's clock may run against ours, as a ratio.
    double slowest_clock = 0.98;
    /// Failed runs in a row, of any jobs, that put a worker in quarantine.
    std::uint32_t failures_to_quarantine = 3;
    milliseconds quarantine{4'000};
};

/// The workers of all services: room, leases and lists of ends. No I/O.
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

    /// Takes a registration; true where the worker is new or started anew.
    bool upsert(const worker_registration& about);

    /// Marks a worker as dropped from the registry at that offset.
    void unlist(const worker_id& id, log_offset dropped_at);

    /// Adds a worker that is known from a predecessor's note alone.
    worker_entry&
    add_unlisted(const worker_address& address, log_offset dropped_at);

    /// Drops unlisted workers on which nothing runs and whose drop from the
    /// registry is past; gives their ids.
    [[nodiscard]] std::vector<worker_id>
    forget_unlisted(const std::function<bool(log_offset)>& is_past);

    /// True where new work may be started there.
    [[nodiscard]] bool is_usable(const worker_entry& worker, instant now) const;

    /// The lease to put into an order sent now, on the worker's clock; also
    /// notes it, whether or not the order arrives.
    [[nodiscard]] worker_instant
    extend_lease(worker_entry& worker, instant now);

    void note_clock(
        worker_entry& worker, worker_instant clock, instant asked, instant now);

    void add_run(worker_entry& worker, run_entry run);
    /// Frees the room of a run; false where there is no such run.
    bool remove_run(worker_entry& worker, const task_ref& task, run_number run);

    [[nodiscard]] const resources& used_by(const account_name& account) const;

    void note_success(worker_entry& worker);
    /// True where the worker was put in quarantine by this failure.
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
