#include "fleet/absence_book.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// No id of a job begins like this.
constexpr absl::string_view key_prefix = "away/";

/// True where the note allows for all that may run there now.
bool covers(const absence_record& noted, const absence_record& present)
{
    return noted.incarnation == present.incarnation &&
           noted.address == present.address &&
           std::all_of(
               present.runs.begin(),
               present.runs.end(),
               [&](const auto& run)
               {
                   return std::find(
                              noted.runs.begin(), noted.runs.end(), run) !=
                          noted.runs.end();
               });
}

} // namespace

std::string absence_book::key_of(const worker_id& worker)
{
    return absl::StrCat(key_prefix, worker.str());
}

std::optional<worker_id> absence_book::worker_of(const std::string& key)
{
    if (!absl::StartsWith(key, key_prefix))
    {
        return std::nullopt;
    }
    return worker_id(key.substr(key_prefix.size()));
}

void absence_book::restore(const worker_id& worker, absence_record absence)
{
    noted_[worker] = std::move(absence);
}

bool absence_book::record_absence(
    const worker_id& worker, const absence_record& absence)
{
    const absence_record* noted = find(worker);
    // A note that says too much is safe; it is renewed once nothing runs.
    if (noted != nullptr && covers(*noted, absence) &&
        noted->runs.empty() == absence.runs.empty())
    {
        return false;
    }
    noted_[worker] = absence;
    news_[worker] = absence;
    return true;
}

void absence_book::remove_absence(const worker_id& worker)
{
    if (noted_.erase(worker) > 0)
    {
        news_[worker] = std::nullopt;
    }
}

const absence_record* absence_book::find(const worker_id& worker) const
{
    const auto at = noted_.find(worker);
    return at == noted_.end() ? nullptr : &at->second;
}

bool absence_book::is_recorded(const worker_id& worker) const
{
    return noted_.contains(worker) || news_.contains(worker) ||
           std::find(under_way_.begin(), under_way_.end(), worker) !=
               under_way_.end();
}

std::vector<store_record> absence_book::take_changes()
{
    std::vector<store_record> records;
    for (const auto& [worker, absence] : news_)
    {
        records.push_back(
            {0, key_of(worker), absence ? encode(*absence) : std::string()});
        if (!absence)
        {
            under_way_.push_back(worker);
        }
    }
    news_.clear();
    return records;
}

void absence_book::confirm_stored()
{
    under_way_.clear();
}

} // namespace acaciastile::fleet
