#include "fleet/departure_book.hpp"

#include "fleet/records.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace acaciastile::fleet
{

namespace
{

/// No id of a job begins like this.
constexpr absl::string_view key_prefix = "gone/";

} // namespace

std::string departure_book::key_of(const worker_id& worker)
{
    return absl::StrCat(key_prefix, worker.str());
}

std::optional<worker_id> departure_book::worker_of(const std::string& key)
{
    if (!absl::StartsWith(key, key_prefix))
    {
        return std::nullopt;
    }
    return worker_id(key.substr(key_prefix.size()));
}

void departure_book::restore(const worker_id& worker, log_offset dropped_at)
{
    dropped_at_[worker] = dropped_at;
}

void departure_book::note(const worker_id& worker, log_offset dropped_at)
{
    if (!covers(worker, dropped_at))
    {
        dropped_at_[worker] = dropped_at;
        news_[worker] = dropped_at;
    }
}

bool departure_book::covers(
    const worker_id& worker, log_offset dropped_at) const
{
    const auto at = dropped_at_.find(worker);
    return at != dropped_at_.end() && at->second >= dropped_at;
}

std::vector<store_record> departure_book::take_news()
{
    std::vector<store_record> records;
    for (const auto& [worker, dropped_at] : news_)
    {
        records.push_back(
            {0, key_of(worker), encode(departure_record{dropped_at})});
    }
    news_.clear();
    return records;
}

std::vector<store_record>
departure_book::forget_before(log_offset registry_offset)
{
    std::vector<store_record> records;
    std::erase_if(
        dropped_at_,
        [&](const auto& each)
        {
            if (each.second >= registry_offset)
            {
                return false;
            }
            records.push_back({0, key_of(each.first), {}});
            return true;
        });
    return records;
}

} // namespace acaciastile::fleet
