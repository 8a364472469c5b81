#include "fleet/event_text.hpp"
#include "fleet/owner.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <limits>

namespace acaciastile::fleet
{

/// A registration that was removed.
struct expired_registration
{
    log_offset dropped_at = 0; ///< Offset of the removal.
    /// The largest of the worker's latest incarnation, if the history still
    /// tells it.
    std::optional<resources> capacity;
};

/// Workers whose registration was removed. They may still be alive and run
/// tasks that an earlier owner started, also after a draining notice: a
/// draining worker that loses the store runs on.
using expired_registrations = std::map<worker_id, expired_registration>;

/// Part of the registry's log, from an offset up to the log's end.
struct registry_history
{
    /// The first offset that was read. Higher than asked for if the store has
    /// deleted older records, or if a read has failed.
    log_offset from = 0;
    expired_registrations expired;
    /// Of each worker, its latest incarnation, with the most that it has had of
    /// each resource.
    std::map<worker_id, worker_registration> latest;
};

namespace
{

void add_expired_registrations(
    registry_history& to,
    const store_page& page,
    const external_records& foreign)
{
    for (const store_record& record : page.records)
    {
        const worker_id id(record.key);
        if (const auto registration =
                foreign.read_registration(record.key, record.value))
        {
            to.expired.erase(id);
            const auto known = to.latest.try_emplace(id, *registration).first;
            worker_registration& latest = known->second;
            if (latest.incarnation == registration->incarnation)
            {
                const resources capacity =
                    max(latest.capacity, registration->capacity);
                latest = *registration;
                latest.capacity = capacity;
            }
            else if (latest.incarnation < registration->incarnation)
            {
                latest = *registration;
            }
        }
        else if (record.value.empty() && is_worker_key(record.key))
        {
            const auto known = to.latest.find(id);
            to.expired[id] = {
                record.offset,
                known == to.latest.end()
                    ? std::optional<resources>()
                    : std::optional<resources>(known->second.capacity)};
        }
    }
}

/// Reads the registry's log from `next` on, page after page, and passes on what
/// it tells after `before`.
void read_history(
    metadata_store& store,
    external_records& foreign,
    log_offset next,
    registry_history before,
    std::function<void(registry_history)> done)
{
    store.read(
        foreign.registry_topic(),
        next,
        milliseconds::zero(),
        [&store,
         &foreign,
         next,
         history = std::move(before),
         done = std::move(done)](const result<store_page>& page) mutable
        {
            if (page)
            {
                add_expired_registrations(history, *page, foreign);
                if (page->is_last())
                {
                    done(std::move(history));
                    return;
                }
                if (page->end > next)
                {
                    read_history(
                        store,
                        foreign,
                        page->end,
                        std::move(history),
                        std::move(done));
                    return;
                }
            }
            else if (page.error().code == refusal_code::offset_expired)
            {
                const log_offset first = first_kept(page.error(), next);
                if (first > next)
                {
                    read_history(
                        store,
                        foreign,
                        first,
                        {first, {}, {}},
                        std::move(done));
                    return;
                }
            }
            done({std::numeric_limits<log_offset>::max(), {}, {}});
        });
}

} // namespace

void fleet_owner::restore_replaced_registrations(
    const store_page& registry, registry_history& history)
{
    std::size_t unreadable = 0;
    for (const store_record& record : registry.records)
    {
        const worker_id id(record.key);
        if (record.value.empty() || workers_.find(id) != nullptr ||
            history.expired.contains(id))
        {
            continue;
        }
        if (const auto known = history.latest.find(id);
            known != history.latest.end())
        {
            register_worker(known->second, record.offset);
        }
        else if (
            record.offset >= history.from && is_worker_key(record.key) &&
            absences_.find(id) == nullptr)
        {
            // Its earlier entries are not known. The entry of a worker that
            // lives is replaced by its own before the history ends.
            const bool is_tracked = unreadable < max_unreadable_keys;
            ++unreadable;
            history.expired.emplace(
                is_tracked ? id : worker_id(unknown_worker_id),
                expired_registration{record.offset, std::nullopt});
        }
    }
}

/// State that a new owner reads from the store. The reads run concurrently,
/// except that `progress` is read after the fence is stored and the history of
/// the registry after its newest records, again if it has to go further back.
struct fleet_owner::loading
{
    std::array<std::optional<store_page>, topics::job_topics.size()> jobs;
    /// When the reads of the jobs were sent.
    std::array<instant, topics::job_topics.size()> jobs_asked{};
    std::optional<store_page> progress;
    std::optional<store_page> registry;
    std::optional<registry_history> history;
    bool operators_known = false;      ///< What operators request by now.
    log_offset history_asked_from = 0; ///< Of the last read of the history.

    /// Progress of one read of newest records.
    struct scan
    {
        std::size_t pages = 0;
        std::size_t records = 0;
        bool done = false;
    };
    std::map<std::string, scan> scans; ///< By topic.
    std::string failure;               ///< Last error of a read.
    instant begun{};
};

void fleet_owner::load()
{
    loading_ = std::make_shared<loading>();
    loading_->begun = ports_.clock.now();
    later(settings_.load_report_interval, &fleet_owner::report_slow_load);
    fence();
    // An evacuation that was stored before holds from the first start on.
    ports_.operators.refresh(guarded(
        [](fleet_owner& self)
        {
            self.loading_->operators_known = true;
            self.finish_loading();
        }));
    // These pages may be older than the fence: records appended later are
    // found by the reads that continue from the end of each page. Progress of
    // such a job is kept until the job is read.
    for (std::size_t topic = 0; topic < topics::job_topics.size(); ++topic)
    {
        loading_->jobs_asked[topic] = ports_.clock.now_with_suspends();
        load_newest(
            topics::job_topics[topic],
            [topic](loading& read) -> std::optional<store_page>&
            { return read.jobs[topic]; });
    }
    load_newest(
        ports_.foreign.registry_topic(),
        [](loading& read) -> std::optional<store_page>&
        { return read.registry; });
}

void fleet_owner::fence()
{
    append_options options;
    options.fence = {topics::progress_writer, token_, sequence_};
    ports_.store.append(
        topics::progress,
        {},
        options,
        guarded(
            [](fleet_owner& self, const result<log_offset>& stored)
            {
                if (stored)
                {
                    ++self.sequence_;
                    self.load_newest(
                        topics::progress,
                        [](loading& read) -> std::optional<store_page>&
                        { return read.progress; });
                    return;
                }
                if (stored.error().code == refusal_code::stale_epoch)
                {
                    self.ports_.step_down(
                        "the store fenced this owner while it was loading: " +
                        stored.error().message);
                    return;
                }
                self.loading_->failure = stored.error().message;
                self.later(
                    self.settings_.store_retry_delay, &fleet_owner::fence);
            }));
}

void fleet_owner::load_newest(const std::string& topic, loaded_page into)
{
    loading_->scans[topic] = {};
    newest_observer observer;
    observer.on_page = guarded(
        [topic](fleet_owner& self, std::size_t records)
        {
            loading::scan& scan = self.loading_->scans[topic];
            ++scan.pages;
            scan.records += records;
        });
    if (topic == ports_.foreign.registry_topic())
    {
        observer.on_record = guarded([](fleet_owner& self, store_record& record)
                                     { self.drop_unreadable_value(record); });
    }
    ports_.store.read_newest(
        topic,
        std::move(observer),
        guarded(
            [topic, into](fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    self.loading_->failure = page.error().message;
                    self.ports_.clock.after(
                        self.settings_.store_retry_delay,
                        self.guarded([topic, into](fleet_owner& owner)
                                     { owner.load_newest(topic, into); }));
                    return;
                }
                into(*self.loading_) = *page;
                self.loading_->scans[topic].done = true;
                if (topic == self.ports_.foreign.registry_topic())
                {
                    self.load_registry_history(
                        page->end -
                        std::min(page->end, registry_lookback_records));
                }
                self.finish_loading();
            }));
}

void fleet_owner::report_slow_load()
{
    if (!loading_)
    {
        return;
    }
    const milliseconds age = ports_.clock.now() - loading_->begun;
    const std::string topics_read = absl::StrJoin(
        loading_->scans,
        ",",
        [](std::string* out, const auto& each)
        {
            const auto& [topic, scan] = each;
            absl::StrAppend(
                out,
                topic,
                ":",
                scan.pages,
                "/",
                scan.records,
                scan.done ? "" : "...");
        });
    ports_.metrics.gauge("fleet_load_ms", "", static_cast<double>(age.count()));
    ports_.events.emit(
        {event_number::load_slow,
         {{"fence", std::to_string(token_)},
          {"age_ms", text_of(age)},
          {"topics", topics_read},
          {"failure", loading_->failure}}});
    later(settings_.load_report_interval, &fleet_owner::report_slow_load);
}

void fleet_owner::load_registry_history(log_offset from)
{
    loading_->history_asked_from = from;
    read_history(
        ports_.store,
        ports_.foreign,
        from,
        {from, {}},
        guarded(
            [](fleet_owner& self, registry_history history)
            {
                self.loading_->history = std::move(history);
                self.finish_loading();
            }));
}

bool fleet_owner::registry_history_suffices()
{
    removals_noted_ = 0;
    for (const store_record& record : loading_->progress->records)
    {
        if (record.key == topics::removals_noted &&
            !absl::SimpleAtoi(record.value, &removals_noted_))
        {
            removals_noted_ = 0;
        }
    }
    registry_history& history = *loading_->history;
    std::erase_if(
        history.expired,
        [&](const auto& each)
        { return each.second.dropped_at < removals_noted_; });
    if (history.from <= removals_noted_ || token_ == first_token)
    {
        return true;
    }
    const log_offset end = loading_->registry->end;
    if (removals_noted_ < loading_->history_asked_from &&
        end <= removals_noted_ + max_registry_lookback_records)
    {
        loading_->history.reset();
        load_registry_history(removals_noted_);
        return false;
    }
    history.expired.emplace(
        unknown_worker_id, expired_registration{end, std::nullopt});
    return true;
}

void fleet_owner::finish_loading()
{
    const std::shared_ptr<loading> read = loading_;
    const bool jobs_read = std::all_of(
        read->jobs.begin(),
        read->jobs.end(),
        [](const auto& page) { return page.has_value(); });
    if (!jobs_read || !read->progress || !read->registry || !read->history ||
        !read->operators_known || !registry_history_suffices())
    {
        return;
    }
    loading_.reset();
    ports_.metrics.gauge(
        "fleet_load_ms",
        "",
        static_cast<double>((ports_.clock.now() - read->begun).count()));
    const milliseconds longest =
        settings_.workers.by_slowest_clock(settings_.workers.lease);
    // For that long after this owner's claim and fence the previous owner may
    // count as confirmed and extend leases.
    inherited_leases_end_ =
        ports_.clock.now() + longest + settings_.store_confirmation;
    for (std::size_t topic = 0; topic < read->jobs.size(); ++topic)
    {
        jobs_next_[topic] = read->jobs[topic]->end;
        jobs_known_until_[topic] = read->jobs_asked[topic];
        for (const store_record& record : read->jobs[topic]->records)
        {
            apply_job_record(topic, record, true);
        }
    }
    for (const store_record& record : read->progress->records)
    {
        restore_progress(record);
    }
    for (const job_id& id : unseen_cancels_.all())
    {
        if (job_entry* job = jobs_.find(id); job != nullptr && !job->is_final())
        {
            end_cancelled_request(*job);
        }
    }
    for (const auto& [id, job] : jobs_.all())
    {
        if (job->is_final() && job->stored_in != 0)
        {
            ended_jobs_.insert(id);
        }
    }
    charge_inherited_rates();
    registry_next_ = read->registry->end;
    for (const store_record& record : read->registry->records)
    {
        apply_registration(record);
    }
    restore_replaced_registrations(*read->registry, *read->history);
    for (const auto& [id, registration] : read->history->latest)
    {
        worker_entry* worker = workers_.find(id);
        if (worker != nullptr &&
            worker->described_incarnation == registration.incarnation)
        {
            worker->largest_capacity =
                max(worker->largest_capacity, registration.capacity);
        }
    }
    restore_speeds(*read->progress);
    restore_absent_workers();
    for (const worker_entry* worker : workers_.all())
    {
        const worker_id& id = worker->registration.id;
        if (absences_.find(id) == nullptr)
        {
            unsealed_workers_.insert(id);
        }
    }
    for (const auto& [id, registration] : read->history->expired)
    {
        if (absences_.find(id) == nullptr)
        {
            unsealed_workers_.insert(id);
        }
        expired_registrations_.emplace(id, registration.dropped_at);
        if (registration.capacity)
        {
            expired_capacities_.emplace(id, *registration.capacity);
        }
    }
    loaded_ = true;
    last_store_answer_ = ports_.clock.now();
    on_evacuations_changed();
    ports_.events.emit(
        {event_number::fleet_loaded,
         {{"fence", std::to_string(token_)},
          {"jobs", std::to_string(jobs_.all().size())},
          {"open", std::to_string(jobs_.open().size())},
          {"workers", std::to_string(workers_.all().size())},
          {"unheard", std::to_string(unsealed_workers_.size())},
          {"absent", std::to_string(absences_.all().size())}}});
    for (std::size_t topic = 0; topic < topics::job_topics.size(); ++topic)
    {
        tail_jobs(topic);
    }
    // By then the previous owner has stopped deciding, as above.
    later(settings_.store_confirmation, &fleet_owner::read_predecessor_jobs);
    later(settings_.cleanup_interval, &fleet_owner::drop_ended_requests);
    later(settings_.registry_poll_interval, &fleet_owner::poll_registry);
    schedule_round();
}

void fleet_owner::restore_progress(const store_record& record)
{
    if (const auto absent = absent_worker_table::worker_of(record.key))
    {
        restore_absence(*absent, record);
        return;
    }
    if (noted_run_table::is_key(record.key))
    {
        restore_noted_run(record);
        return;
    }
    if (record.key == topics::removals_noted ||
        record.key == topics::worker_speeds)
    {
        return;
    }
    const auto progress = decode_job_progress(record.value);
    if (!progress)
    {
        ports_.events.emit(
            {event_number::record_unreadable,
             {{"topic", topics::progress}, {"job", record.key}}});
        return;
    }
    const instant ended = instant_of(progress->ended);
    if (const auto unseen = unseen_cancel_table::job_of(record.key))
    {
        unseen_cancels_.restore(*unseen, ended);
        return;
    }
    jobs_.restore(job_id(record.key), *progress, ended);
}

instant fleet_owner::instant_of(wall_time recorded) const
{
    // The predecessor's steady clock is not known here, so the wall clocks
    // tell the age. They may differ and may have jumped.
    const milliseconds age =
        ports_.clock.wall() - recorded - settings_.wall_clock_error;
    return ports_.clock.now() - std::max(milliseconds::zero(), age);
}

} // namespace acaciastile::fleet
