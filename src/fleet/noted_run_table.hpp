#pragma once

#include "fleet/ports.hpp"
#include "fleet/records.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// Runs that may crash their workers, as recorded in the store. An owner that
/// ends together with a worker leaves its successor nothing else by which to
/// count that crash against the run. Does no I/O.
class noted_run_table
{
public:
    /// True for the key of a noted run in the progress topic.
    [[nodiscard]] static bool is_key(const std::string& key);

    /// Adds a record that an earlier owner has stored.
    void restore(noted_run noted);
    /// Notes a run that is on its worker.
    void note(noted_run noted);
    /// Removes the note of a run, if there is one.
    void remove(const run_ref& run);

    /// Returns the restored notes that the process which has answered tells
    /// about, each once: it is their worker or answers at its address.
    [[nodiscard]] std::vector<noted_run>
    take_restored(const worker_address& answering);
    /// Removes the restored notes that were not taken.
    void remove_restored();

    [[nodiscard]] bool has_changes() const noexcept
    {
        return !pending_changes_.empty();
    }
    /// Takes the changes since the last call, as records to append.
    [[nodiscard]] std::vector<store_record> take_changes();

private:
    std::map<run_ref, noted_run> notes_;
    /// Notes of earlier owners whose workers have not answered yet.
    std::map<run_ref, noted_run> restored_;
    /// Changes that were not taken yet; no value deletes the record.
    std::map<run_ref, std::optional<noted_run>> pending_changes_;
};

} // namespace acaciastile::fleet
