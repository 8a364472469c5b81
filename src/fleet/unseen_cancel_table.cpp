#include "fleet/unseen_cancel_table.hpp"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace acaciastile::fleet
{

namespace
{

/// Tells these keys from those of jobs: no job id begins with it.
constexpr absl::string_view key_prefix = "cancelled/";

} // namespace

std::string unseen_cancel_table::key_of(const job_id& job)
{
    return absl::StrCat(key_prefix, job.str());
}

std::optional<job_id> unseen_cancel_table::job_of(const std::string& key)
{
    if (!absl::StartsWith(key, key_prefix))
    {
        return std::nullopt;
    }
    return job_id(key.substr(key_prefix.size()));
}

void unseen_cancel_table::restore(const job_id& job, instant cancelled)
{
    cancelled_[job] = cancelled;
}

bool unseen_cancel_table::add(const job_id& job, instant now, wall_time wall)
{
    if (!cancelled_.contains(job) && cancelled_.size() >= most_)
    {
        return false;
    }
    cancelled_[job] = now;
    // In the form of the progress of an ended job, so that a build that does
    // not know these records keeps and deletes them as such.
    job_progress progress;
    progress.state = job_state::cancelled;
    progress.ended = wall;
    pending_changes_[key_of(job)] = encode(progress);
    return true;
}

std::vector<job_id> unseen_cancel_table::all() const
{
    std::vector<job_id> jobs;
    jobs.reserve(cancelled_.size());
    for (const auto& [job, cancelled] : cancelled_)
    {
        jobs.push_back(job);
    }
    return jobs;
}

void unseen_cancel_table::forget(instant before)
{
    std::erase_if(
        cancelled_,
        [&](const auto& each)
        {
            if (each.second >= before)
            {
                return false;
            }
            pending_changes_[key_of(each.first)] = {};
            return true;
        });
}

std::vector<store_record> unseen_cancel_table::take_changes()
{
    std::vector<store_record> records;
    for (auto& [key, value] : pending_changes_)
    {
        records.push_back({0, key, std::move(value)});
    }
    pending_changes_.clear();
    return records;
}

} // namespace acaciastile::fleet
