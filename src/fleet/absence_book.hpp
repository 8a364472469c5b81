#pragma once

#include "fleet/ports.hpp"
#include "fleet/records.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// What owners have noted in the store of workers that they lost sight of: at
/// most these runs are there. While a worker is noted no owner starts anything
/// on it, so a successor need not wait for its lease before it starts other
/// tasks. No I/O.
class absence_book
{
public:
    /// Key of a worker's record in the topic of progress.
    [[nodiscard]] static std::string key_of(const worker_id& worker);
    /// The worker that a key names; nothing where it is none of these keys.
    [[nodiscard]] static std::optional<worker_id>
    worker_of(const std::string& key);

    /// Takes in what is stored already.
    void restore(const worker_id& worker, absence_record absence);

    /// Notes what may run on a worker; false where that is noted already.
    bool record_absence(const worker_id& worker, const absence_record& absence);
    /// The worker is in sight again.
    void remove_absence(const worker_id& worker);

    [[nodiscard]] const absence_record* find(const worker_id& worker) const;
    [[nodiscard]] const std::map<worker_id, absence_record>&
    all() const noexcept
    {
        return noted_;
    }
    /// True until the store has taken the note back.
    [[nodiscard]] bool is_recorded(const worker_id& worker) const;

    /// Records that are to be stored, since the last call.
    [[nodiscard]] std::vector<store_record> take_changes();
    /// What the last call of `take_changes` gave is stored.
    void confirm_stored();

private:
    std::map<worker_id, absence_record> noted_;
    /// To be stored; no value takes a note back.
    std::map<worker_id, std::optional<absence_record>> news_;
    std::vector<worker_id> under_way_; ///< Notes that are being taken back.
};

} // namespace acaciastile::fleet
