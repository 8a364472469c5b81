#pragma once

#include "fleet/ports.hpp"
#include "fleet/records.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// Absent workers, as recorded in the store: those that an owner can no longer
/// reach or that are no longer registered. Each record lists every run that may
/// still be on the worker. While a worker has a record, no owner starts a task
/// on it, so a new owner need not wait for the worker's lease to end before it
/// starts other tasks. No I/O.
class absent_worker_table
{
public:
    /// Key of a worker's record in the progress topic.
    [[nodiscard]] static std::string key_of(const worker_id& worker);
    /// The worker that a key of the progress topic belongs to; empty for keys
    /// of other records.
    [[nodiscard]] static std::optional<worker_id>
    worker_of(const std::string& key);

    /// Adds a record that was read from the store.
    void restore(const worker_id& worker, absence_record absence);

    /// Records what may run on an absent worker. Returns false if the existing
    /// record already covers it.
    bool record_absence(const worker_id& worker, const absence_record& absence);
    /// Removes the record of a worker that is reachable again, has restarted or
    /// is no longer of interest.
    void remove_absence(const worker_id& worker);

    [[nodiscard]] const absence_record* find(const worker_id& worker) const;
    [[nodiscard]] const std::map<worker_id, absence_record>&
    all() const noexcept
    {
        return absences_;
    }
    /// True while the worker has a record here or, as far as is known, still in
    /// the store: a removed record counts until `confirm_stored`.
    [[nodiscard]] bool is_recorded(const worker_id& worker) const;

    [[nodiscard]] bool has_changes() const noexcept
    {
        return !pending_changes_.empty();
    }
    /// Most changes that one call of `take_changes` returns, which bounds the
    /// append that stores them.
    static constexpr std::size_t max_changes_taken = 1'000;
    /// Takes changes since the last call, as records to append.
    [[nodiscard]] std::vector<store_record> take_changes();
    /// All changes that were taken so far are stored.
    void confirm_stored();

private:
    std::map<worker_id, absence_record> absences_;
    /// Changes that were not taken yet; no value deletes the record.
    std::map<worker_id, std::optional<absence_record>> pending_changes_;
    std::vector<worker_id> deletions_in_flight_; ///< Taken, not yet stored.
};

} // namespace acaciastile::fleet
