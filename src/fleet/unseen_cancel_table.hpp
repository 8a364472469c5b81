#pragma once

#include "fleet/ports.hpp"
#include "fleet/records.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// Cancellations of jobs of which no request was stored. A request may be
/// stored after its cancellation was confirmed: its append may still be
/// carried out, or its VM may have stood still. Such a job never starts, under
/// any owner, so each cancellation is a record in the store. Does no I/O.
class unseen_cancel_table
{
public:
    /// Key of a job's cancellation in the progress topic.
    [[nodiscard]] static std::string key_of(const job_id& job);
    /// The job that a key of the progress topic belongs to; empty for keys of
    /// other records.
    [[nodiscard]] static std::optional<job_id> job_of(const std::string& key);

    /// `most`: cancellations that are kept.
    explicit unseen_cancel_table(std::size_t most) : most_(most) {}

    /// Adds a record that an earlier owner has stored.
    void restore(const job_id& job, instant cancelled);
    /// Adds a cancellation, which counts once it is stored. Returns false if
    /// too many are kept.
    [[nodiscard]] bool add(const job_id& job, instant now, wall_time wall);
    [[nodiscard]] bool contains(const job_id& job) const
    {
        return cancelled_.contains(job);
    }
    [[nodiscard]] std::vector<job_id> all() const;
    /// Removes the cancellations from before `before`.
    void forget(instant before);

    [[nodiscard]] bool has_changes() const noexcept
    {
        return !pending_changes_.empty();
    }
    /// Takes the changes since the last call, as records to append.
    [[nodiscard]] std::vector<store_record> take_changes();

private:
    std::size_t most_;
    std::map<job_id, instant> cancelled_;
    /// Records that were not taken yet, by key; empty values delete them.
    std::map<std::string, std::string> pending_changes_;
};

} // namespace acaciastile::fleet
