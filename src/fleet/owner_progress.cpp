#include "fleet/owner.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

/// Workers whose learnt speeds are stored. A row takes up to 32 bytes, and the
/// store takes records of 256 KiB.
constexpr std::size_t max_stored_speeds = 8'000;
/// Bytes of that record for each millisecond between two of them: a daemon has
/// 5 KB a second for all its control traffic.
constexpr std::size_t speeds_bytes_per_ms = 2;

} // namespace

/// One append to the progress topic, and what to update once it is stored.
struct fleet_owner::flush_batch
{
    std::vector<store_record> records;
    std::vector<std::pair<job_id, job_state>> states;
    struct processed_ends
    {
        worker_id worker;
        std::uint64_t incarnation = 0;
        std::uint64_t last = 0; ///< Highest end whose effect is in the batch.
    };
    std::vector<processed_ends> ends;
    std::vector<std::function<void()>> waiters;
    log_offset removals_noted = 0;
    std::uint64_t sequence = 0;
    instant sent{}; ///< First, by `scheduler_clock::now_with_suspends`.
};

void fleet_owner::flush()
{
    const instant now = ports_.clock.now();
    if (flushing_ || now < next_flush_)
    {
        if (!flushing_ &&
            (jobs_.has_changes() || absences_.has_changes() ||
             noted_runs_.has_changes() || unseen_cancels_.has_changes()))
        {
            ports_.clock.after(
                next_flush_ - now,
                guarded([](fleet_owner& self) { self.flush(); }));
        }
        return;
    }
    auto batch = std::make_shared<flush_batch>();
    for (const job_entry* job : jobs_.take_changed())
    {
        batch->records.push_back(
            {0, job->job.id.str(), encode(jobs_.progress_of(*job))});
        batch->states.emplace_back(job->job.id, job->state);
    }
    for (const worker_entry* worker : workers_.take_pending_ends())
    {
        batch->ends.push_back(
            {worker->registration.id,
             worker->registration.incarnation,
             worker->processed});
    }
    for (store_record& record : absences_.take_changes())
    {
        batch->records.push_back(std::move(record));
    }
    for (store_record& record : noted_runs_.take_changes())
    {
        batch->records.push_back(std::move(record));
    }
    for (store_record& record : unseen_cancels_.take_changes())
    {
        batch->records.push_back(std::move(record));
    }
    batch->waiters.swap(after_flush_);
    // Only true once all records of absence are stored.
    batch->removals_noted =
        absences_.has_changes() ? removals_noted_ : removals_recorded_;
    const log_offset unnoted = batch->removals_noted -
                               std::min(batch->removals_noted, removals_noted_);
    if (unnoted > registry_lookback_records / 2 ||
        (unnoted > 0 && !batch->records.empty()))
    {
        batch->records.push_back(
            {0, topics::removals_noted, std::to_string(batch->removals_noted)});
    }
    if (batch->records.empty())
    {
        on_stored(batch);
        return;
    }
    if (auto speeds = speeds_record())
    {
        batch->records.push_back(*std::move(speeds));
    }
    flushing_ = true;
    next_flush_ = now + settings_.flush_interval;
    batch->sequence = sequence_++;
    batch->sent = ports_.clock.now_with_suspends();
    send_batch(batch);
}

std::optional<store_record> fleet_owner::speeds_record()
{
    const instant now = ports_.clock.now();
    const worker_speeds& speeds = planner_.speeds();
    if (!speeds.is_uneven() || now < next_speeds_record_)
    {
        return std::nullopt;
    }
    std::vector<learnt_speed> learnt;
    for (const worker_entry* worker : workers_.all())
    {
        const auto known = speeds.evidence_of(worker->handle);
        if (worker->listed && known.runs > 0 &&
            learnt.size() < max_stored_speeds)
        {
            learnt.emplace_back(worker->registration.id, known);
        }
    }
    store_record record{0, topics::worker_speeds, encode(learnt)};
    const milliseconds paced(static_cast<milliseconds::rep>(
        record.value.size() / speeds_bytes_per_ms));
    next_speeds_record_ = now + std::max(settings_.speeds_interval, paced);
    return record;
}

void fleet_owner::restore_speeds(const store_page& progress)
{
    for (const store_record& record : progress.records)
    {
        if (record.key != topics::worker_speeds || record.value.empty())
        {
            continue;
        }
        const auto learnt = decode_learnt_speeds(record.value);
        if (!learnt)
        {
            ports_.events.emit(
                {event_number::record_unreadable,
                 {{"topic", topics::progress}, {"key", record.key}}});
            return;
        }
        for (const auto& [id, known] : *learnt)
        {
            if (const worker_entry* worker = workers_.find(id))
            {
                planner_.speeds().restore(worker->handle, known);
            }
        }
        planner_.speeds().update();
    }
}

void fleet_owner::send_batch(const std::shared_ptr<flush_batch>& batch)
{
    append_options options;
    options.fence = {topics::progress_writer, token_, batch->sequence};
    ports_.store.append(
        topics::progress,
        batch->records,
        options,
        guarded(
            [batch](fleet_owner& self, const result<log_offset>& stored)
            {
                if (stored)
                {
                    self.flushing_ = false;
                    // A successor fences these appends before it loads.
                    self.confirm(batch->sent);
                    if (self.store_lost_)
                    {
                        self.store_lost_ = false;
                        self.ports_.events.emit(
                            {event_number::store_regained,
                             {{"topic", topics::progress}}});
                    }
                    self.absences_.confirm_stored();
                    self.on_stored(batch);
                    self.schedule_round();
                    return;
                }
                if (stored.error().code == refusal_code::stale_epoch)
                {
                    self.ports_.step_down(
                        "the store fenced an append of progress: " +
                        stored.error().message);
                    return;
                }
                if (!self.store_lost_)
                {
                    self.store_lost_ = true;
                    self.ports_.events.emit(
                        {event_number::store_lost,
                         {{"topic", topics::progress},
                          {"reason", stored.error().message}}});
                }
                // Retries with the same sequence number: if the first append
                // took effect, the store returns its result and does not append
                // again.
                self.ports_.clock.after(
                    self.settings_.store_retry_delay,
                    self.guarded([batch](fleet_owner& owner)
                                 { owner.send_batch(batch); }));
            }));
}

void fleet_owner::on_stored(const std::shared_ptr<flush_batch>& batch)
{
    for (const auto& [id, state] : batch->states)
    {
        if (job_entry* job = jobs_.find(id))
        {
            // Checks the stored state: since the batch was built the job may
            // have started, which is shown at once, or ended, which is not
            // stored yet.
            if (is_final(state))
            {
                jobs_.note_end_stored(*job, state, ports_.clock.now());
                ended_jobs_.insert(id);
            }
        }
    }
    for (const flush_batch::processed_ends& each : batch->ends)
    {
        worker_entry* worker = workers_.find(each.worker);
        if (worker != nullptr &&
            worker->registration.incarnation == each.incarnation)
        {
            worker->acknowledged = std::max(worker->acknowledged, each.last);
            worker->next_hold = {};
            schedule_poll(*worker);
        }
    }
    if (!batch->records.empty())
    {
        removals_noted_ = std::max(removals_noted_, batch->removals_noted);
    }
    for (const auto& waiter : batch->waiters)
    {
        waiter();
    }
}

void fleet_owner::drop_ended_requests()
{
    // First: a job is kept until the store has answered the deletion of its
    // request.
    forget_old_jobs();
    std::array<std::vector<store_record>, topics::job_topics.size()> dropped;
    absl::flat_hash_set<job_id> unread;
    for (const job_id& id : ended_jobs_)
    {
        job_entry* job = jobs_.find(id);
        if (job == nullptr)
        {
            continue;
        }
        if (job->stored_in == 0)
        {
            unread.insert(id); // Its request will be read soon.
        }
        for (std::size_t topic = 0; topic < dropped.size(); ++topic)
        {
            if ((job->stored_in >> topic & 1U) != 0)
            {
                dropped[topic].push_back({0, id.str(), {}});
            }
        }
    }
    ended_jobs_ = std::move(unread);
    for (std::size_t topic = 0; topic < dropped.size(); ++topic)
    {
        if (!dropped[topic].empty())
        {
            drop_requests(topic, std::move(dropped[topic]));
        }
    }
    later(settings_.cleanup_interval, &fleet_owner::drop_ended_requests);
}

void fleet_owner::drop_requests(
    std::size_t topic, std::vector<store_record> deletions)
{
    const auto bit = static_cast<std::uint8_t>(1U << topic);
    for (const store_record& each : deletions)
    {
        // A copy that is read later may have been stored after the deletion.
        jobs_.find(job_id(each.key))->stored_in &=
            static_cast<std::uint8_t>(~bit);
    }
    ports_.store.append(
        topics::job_topics[topic],
        deletions,
        {},
        guarded(
            [bit,
             deletions](fleet_owner& self, const result<log_offset>& stored)
            {
                if (stored)
                {
                    return;
                }
                for (const store_record& each : deletions)
                {
                    const job_id id(each.key);
                    if (job_entry* job = self.jobs_.find(id))
                    {
                        job->stored_in |= bit;
                        self.ended_jobs_.insert(id);
                    }
                }
            }));
}

void fleet_owner::forget_old_jobs()
{
    std::vector<store_record> dropped;
    for (const job_id& id :
         jobs_.forget_ended(ports_.clock.now() - settings_.status_kept))
    {
        dropped.push_back({0, id.str(), {}});
    }
    prune_absence_records();
    prune_noted_runs();
    unseen_cancels_.forget(ports_.clock.now() - settings_.status_kept);
    if (!dropped.empty())
    {
        // A failure is ignored: the next owner deletes the remaining records.
        ports_.store.append(
            topics::progress, dropped, {}, [](const result<log_offset>&) {});
    }
}

} // namespace acaciastile::fleet
