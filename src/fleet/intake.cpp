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
    : settings_(settings),
      store_(store),
      clock_(clock),
      metrics_(metrics),
      topic_busy_(topics::job_topics.size())
{
}

void job_intake::submit(
    const accepted_job& job, const intake_terms& terms, completion done)
{
    if (waiting_.size() >= settings_.max_waiting_jobs)
    {
        done(
            terms.may_be_stored ? intake_outcome::unknown
                                : intake_outcome::refused,
            "too many jobs wait to be stored");
        return;
    }
    auto entry = std::make_shared<waiting_job>();
    entry->record = {0, job.id.str(), encode(job)};
    // A retry may arrive shortly before its deadline. As an append takes about
    // 10 ms, it can still succeed if the margin is not taken in full.
    const instant now = clock_.now();
    const milliseconds left = terms.deadline - now;
    entry->deadline =
        terms.deadline - std::min(settings_.answer_margin, left / 4);
    entry->patient_until = now + std::min(terms.patience, left / 3);
    entry->done = std::move(done);
    entry->may_be_stored = terms.may_be_stored;
    waiting_bytes_ += entry->record.value.size();
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
    if (now < next_append_ && waiting_.size() == 1)
    {
        append_later(next_append_ - now); // Later ones join this append.
        return;
    }
    append_group();
}

std::optional<std::size_t> job_intake::free_topic() const
{
    const auto in_flight = static_cast<std::size_t>(
        std::count(topic_busy_.begin(), topic_busy_.end(), true));
    if (in_flight >= settings_.max_appends &&
        (waiting_bytes_ < settings_.slow_append_bytes ||
         clock_.now() - last_append_ < settings_.slow_append_after))
    {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < topic_busy_.size(); ++n)
    {
        const std::size_t topic =
            (settings_.first_topic + n) % topic_busy_.size();
        if (!topic_busy_[topic])
        {
            return topic;
        }
    }
    return std::nullopt;
}

void job_intake::append_group()
{
    const std::optional<std::size_t> topic = free_topic();
    if (!topic || waiting_.empty() || clock_.now() < next_append_)
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
    waiting_bytes_ -= bytes;
    topic_busy_[*topic] = true;
    last_append_ = clock_.now();
    metrics_.count("fleet_job_appends", "", 1);
    store_.append(
        topics::job_topics[*topic],
        std::move(records),
        {},
        [weak = weak_from_this(), topic = *topic, group = std::move(group)](
            const result<log_offset>& stored)
        {
            if (const auto self = weak.lock())
            {
                self->on_append_done(topic, group, stored);
            }
        });
    // Jobs that arrive meanwhile need another append if the store is slow.
    append_later(settings_.slow_append_after);
}

void job_intake::append_later(milliseconds delay)
{
    clock_.after(
        delay,
        [weak = weak_from_this()]
        {
            if (const auto self = weak.lock())
            {
                self->append_group();
            }
        });
}

void job_intake::on_append_done(
    std::size_t topic,
    std::vector<job_ptr> group,
    const result<log_offset>& stored)
{
    topic_busy_[topic] = false;
    const bool refused = !stored && stored.error().effect == verdict::not_run;
    if (refused)
    {
        next_append_ = clock_.now() + settings_.refused_retry_delay;
        // The store may refuse this topic alone.
        settings_.first_topic = (topic + 1) % topic_busy_.size();
    }
    else
    {
        next_append_ = {};
    }
    std::vector<job_ptr> retries;
    for (const job_ptr& job : group)
    {
        if (job->completed)
        {
            continue;
        }
        if (stored)
        {
            job->completed = true;
            job->done(intake_outcome::stored, {});
        }
        else if (
            refused && !job->may_be_stored && next_append_ > job->patient_until)
        {
            job->completed = true;
            job->done(intake_outcome::refused, stored.error().message);
        }
        else
        {
            job->may_be_stored = job->may_be_stored || !refused;
            waiting_bytes_ += job->record.value.size();
            retries.push_back(job);
        }
    }
    if (retries.empty())
    {
        // Further jobs wait for as long as the store refuses.
        if (refused && !waiting_.empty())
        {
            append_later(settings_.refused_retry_delay);
            return;
        }
        append_group();
        return;
    }
    // Appending a job twice is harmless: its id is the record's key.
    waiting_.insert(waiting_.begin(), retries.begin(), retries.end());
    append_later(
        refused ? settings_.refused_retry_delay : settings_.retry_delay);
}

void job_intake::expire(const job_ptr& job)
{
    if (job->completed)
    {
        return;
    }
    job->completed = true;
    const auto found = std::find(waiting_.begin(), waiting_.end(), job);
    const bool never_sent = found != waiting_.end() && !job->may_be_stored;
    if (found != waiting_.end())
    {
        waiting_bytes_ -= job->record.value.size();
        waiting_.erase(found);
    }
    job->done(
        never_sent ? intake_outcome::refused : intake_outcome::unknown,
        "the store did not answer in time");
}

} // namespace acaciastile::fleet
