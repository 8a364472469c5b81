#include "fleet/absent_worker_table.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// Tells these keys from those of jobs: no job id begins with it.
constexpr absl::string_view key_prefix = "away/";

/// True if all elements of `part` are in `whole`.
template<class Element>
bool includes(
    const std::vector<Element>& whole, const std::vector<Element>& part)
{
    return std::all_of(
        part.begin(),
        part.end(),
        [&](const Element& each)
        { return std::find(whole.begin(), whole.end(), each) != whole.end(); });
}

/// True if the recorded absence is of the same process and address, tells the
/// same of its draining and lists every run of the current one.
bool covers(const absence_record& recorded, const absence_record& current)
{
    return recorded.incarnation == current.incarnation &&
           recorded.address == current.address &&
           recorded.announced_drain == current.announced_drain &&
           includes(recorded.runs, current.runs) &&
           includes(recorded.blamed, current.blamed);
}

} // namespace

std::string absent_worker_table::key_of(const worker_id& worker)
{
    return absl::StrCat(key_prefix, worker.str());
}

std::optional<worker_id> absent_worker_table::worker_of(const std::string& key)
{
    if (!absl::StartsWith(key, key_prefix))
    {
        return std::nullopt;
    }
    return worker_id(key.substr(key_prefix.size()));
}

void absent_worker_table::restore(
    const worker_id& worker, absence_record absence)
{
    absences_[worker] = std::move(absence);
}

bool absent_worker_table::record_absence(
    const worker_id& worker, const absence_record& absence)
{
    const absence_record* recorded = find(worker);
    // A record that lists too many runs is safe. It is replaced when no run is
    // left.
    if (recorded != nullptr && covers(*recorded, absence) &&
        recorded->runs.empty() == absence.runs.empty())
    {
        return false;
    }
    absences_[worker] = absence;
    pending_changes_[worker] = absence;
    return true;
}

void absent_worker_table::remove_absence(const worker_id& worker)
{
    if (absences_.erase(worker) > 0)
    {
        pending_changes_[worker] = std::nullopt;
    }
}

const absence_record* absent_worker_table::find(const worker_id& worker) const
{
    const auto at = absences_.find(worker);
    return at == absences_.end() ? nullptr : &at->second;
}

bool absent_worker_table::is_recorded(const worker_id& worker) const
{
    return absences_.contains(worker) || pending_changes_.contains(worker) ||
           std::find(
               deletions_in_flight_.begin(),
               deletions_in_flight_.end(),
               worker) != deletions_in_flight_.end();
}

std::vector<store_record> absent_worker_table::take_changes()
{
    std::vector<store_record> records;
    auto next = pending_changes_.begin();
    for (; next != pending_changes_.end() && records.size() < max_changes_taken;
         ++next)
    {
        const auto& [worker, absence] = *next;
        records.push_back(
            {0, key_of(worker), absence ? encode(*absence) : std::string()});
        if (!absence)
        {
            deletions_in_flight_.push_back(worker);
        }
    }
    pending_changes_.erase(pending_changes_.begin(), next);
    return records;
}

void absent_worker_table::confirm_stored()
{
    deletions_in_flight_.clear();
}

} // namespace acaciastile::fleet
