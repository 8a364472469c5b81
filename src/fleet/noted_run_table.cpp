#include "fleet/noted_run_table.hpp"

#include "fleet/event_text.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace acaciastile::fleet
{

namespace
{

constexpr const char* key_prefix = "noted-run/";

} // namespace

bool noted_run_table::is_key(const std::string& key)
{
    return absl::StartsWith(key, key_prefix);
}

void noted_run_table::restore(noted_run noted)
{
    const run_ref run = noted.blamed.run;
    restored_[run] = noted;
    notes_[run] = std::move(noted);
}

void noted_run_table::note(noted_run noted)
{
    const run_ref run = noted.blamed.run;
    pending_changes_[run] = noted;
    notes_[run] = std::move(noted);
}

void noted_run_table::remove(const run_ref& run)
{
    if (notes_.erase(run) > 0)
    {
        pending_changes_[run] = std::nullopt;
    }
}

std::vector<noted_run>
noted_run_table::take_restored(const worker_address& answering)
{
    std::vector<noted_run> taken;
    std::erase_if(
        restored_,
        [&](const auto& each)
        {
            const worker_address& worker = each.second.worker;
            if (worker.id != answering.id &&
                worker.address != answering.address)
            {
                return false;
            }
            taken.push_back(each.second);
            return true;
        });
    return taken;
}

void noted_run_table::remove_restored()
{
    for (const auto& [run, noted] : restored_)
    {
        remove(run);
    }
    restored_.clear();
}

std::vector<store_record> noted_run_table::take_changes()
{
    std::vector<store_record> records;
    for (const auto& [run, noted] : pending_changes_)
    {
        records.push_back(
            {0,
             absl::StrCat(key_prefix, text_of(run.task), "/", run.run),
             noted ? encode(*noted) : std::string()});
    }
    pending_changes_.clear();
    return records;
}

} // namespace acaciastile::fleet
