#pragma once

#include "fleet/ports.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// Workers that the registry dropped and that run nothing of any owner's, as
/// the owners note in the store. A successor need not wait for the leases of
/// these. No I/O.
class departure_book
{
public:
    /// Key of a departure's record in the topic of progress.
    [[nodiscard]] static std::string key_of(const worker_id& worker);
    /// The worker that a key names; nothing where it is none of these keys.
    [[nodiscard]] static std::optional<worker_id>
    worker_of(const std::string& key);

    /// Takes in a departure that is stored already.
    void restore(const worker_id& worker, log_offset dropped_at);

    /// Notes that a worker which the registry dropped at that offset runs
    /// nothing; does nothing where that is known.
    void note(const worker_id& worker, log_offset dropped_at);

    /// True where nothing runs on a worker that was dropped at that offset.
    [[nodiscard]] bool
    covers(const worker_id& worker, log_offset dropped_at) const;

    [[nodiscard]] bool has_news() const noexcept { return !news_.empty(); }
    /// Records to be stored since the last call.
    [[nodiscard]] std::vector<store_record> take_news();

    /// Forgets departures from before that offset; gives the records that
    /// drop them from the store.
    [[nodiscard]] std::vector<store_record>
    forget_before(log_offset registry_offset);

private:
    std::map<worker_id, log_offset> dropped_at_;
    std::map<worker_id, log_offset> news_;
};

} // namespace acaciastile::fleet
