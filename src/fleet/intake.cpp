#include "fleet/intake.hpp"

#include "fleet/owner.hpp"
#include "fleet/records.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

std::shared_ptr<job_intake> job_intake::create(
    intake_settings settings,
    metadata_store& store,
    scheduler_clock& clock,
    metric_sink& metrics)
{
    return std::shared_ptr<job_intake>(
        new job_intake(settings, store, clock, metrics));
}

job_intake::job_intake(
    intake_settings settings,
    metadata_store& store,
    scheduler_clock& clock,
    metric_sink& metrics)
    : settings_(settings), store_(store), clock_(clock), metrics_(metrics)
{
}

void job_intake::submit(
    const accepted_job& job,
    instant deadline,
    bool may_be_stored,
    completion done)
{
    if (waiting_.size() >= settings_.most_waiting)
    {
        done(
            may_be_stored ? intake_outcome::unknown : intake_outcome::refused,
            "too many jobs wait to be stored");
        return;
    }
    auto entry = std::make_shared<waiting_job>();
    entry->record = {0, job.id.str(), encode(job)};
    // A caller who tries again late has little time, and storing takes some
    // 10 ms.
    entry->deadline =
        deadline -
        std::min(settings_.answer_margin, (deadline - clock_.now()) / 4);
    entry->done = std::move(done);
    entry->sent = may_be_stored;
    waiting_.push_back(entry);
    clock_.after(
        entry->deadline - clock_.now(),
        [weak = weak_from_this(), entry]
        {
            if (const auto self = weak.lock())
            {
                self->expire(entry);
            }
        });
    send();
}

void job_intake::send()
{
    if (appends_ >= settings_.most_appends || waiting_.empty())
    {
        return;
    }
    std::vector<job_ptr> group;
    std::vector<store_record> records;
    std::size_t bytes = 0;
    while (!waiting_.empty() && bytes < settings_.request_bytes / 2)
    {
        bytes += waiting_.front()->record.value.size();
        records.push_back(waiting_.front()->record);
        group.push_back(std::move(waiting_.front()));
        waiting_.erase(waiting_.begin());
    }
    ++appends_;
    metrics_.count("fleet_job_appends", "", 1);
    store_.append(
        topics::jobs,
        std::move(records),
        {},
        [weak = weak_from_this(),
         group = std::move(group)](const result<log_offset>& stored)
        {
            if (const auto self = weak.lock())
            {
                self->on_answer(group, stored);
            }
        });
}

void job_intake::on_answer(
    std::vector<job_ptr> group, const result<log_offset>& stored)
{
    --appends_;
    std::vector<job_ptr> again;
    for (const job_ptr& job : group)
    {
        if (job->told)
        {
            continue;
        }
        if (stored)
        {
            job->told = true;
            job->done(intake_outcome::stored, {});
        }
        else if (stored.error().effect == verdict::not_run && !job->sent)
        {
            job->told = true;
            job->done(intake_outcome::refused, stored.error().message);
        }
        else
        {
            job->sent = true;
            again.push_back(job);
        }
    }
    if (again.empty())
    {
        send();
        return;
    }
    // Storing a job twice is storing it once: its id is the key.
    waiting_.insert(waiting_.begin(), again.begin(), again.end());
    clock_.after(
        settings_.retry,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->send();
            }
        });
}

void job_intake::expire(const job_ptr& job)
{
    if (job->told)
    {
        return;
    }
    job->told = true;
    const auto at = std::find(waiting_.begin(), waiting_.end(), job);
    const bool untouched = at != waiting_.end() && !job->sent;
    if (at != waiting_.end())
    {
        waiting_.erase(at);
    }
    job->done(
        untouched ? intake_outcome::refused : intake_outcome::unknown,
        "the store did not answer in time");
}

} // namespace acaciastile::fleet
