#include "fleet/event_text.hpp"
#include "fleet/owner.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace acaciastile::fleet
{

void fleet_owner::apply_job_record(
    std::size_t topic, const store_record& record, bool inherited)
{
    if (record.value.empty())
    {
        return; // The request of an ended job was deleted.
    }
    const auto bit = static_cast<std::uint8_t>(1U << topic);
    if (job_entry* known = jobs_.find(job_id(record.key)))
    {
        known->stored_in |= bit;
        if (is_final(known->reported_state))
        {
            // Sent again after its end; the request must not outlive the
            // progress that says so.
            ended_jobs_.insert(known->job.id);
        }
        return;
    }
    auto job = decode_accepted_job(record.key, record.value);
    if (!job)
    {
        ports_.events.emit(
            {event_number::record_unreadable,
             {{"topic", topics::job_topics[topic]}, {"job", record.key}}});
        return;
    }
    add_job(*std::move(job), inherited);
    jobs_.find(job_id(record.key))->stored_in |= bit;
}

void fleet_owner::add_job(accepted_job job, bool inherited)
{
    const instant now = ports_.clock.now();
    // Wall clocks of VMs differ and may jump, so an implausible age is ignored.
    const milliseconds age = ports_.clock.wall() - job.accepted;
    const bool plausible =
        age > milliseconds::zero() && age < settings_.status_kept;
    job_entry* added = jobs_.add(
        std::move(job), inherited, inherited && plausible ? now - age : now);
    if (added == nullptr)
    {
        return;
    }
    added->has_unreconciled_runs = unread_jobs_.contains(added->job.id);
    restore_unread_absent_runs(added->job.id);
    count_unread_crashes(added->job.id);
    if (loaded_ && unseen_cancels_.contains(added->job.id) &&
        !added->is_final())
    {
        end_cancelled_request(*added);
        return;
    }
    // Jobs that are loaded are charged together, in the order of their age.
    if (loaded_ && !added->excess)
    {
        charge_rate(*added, now);
    }
}

void fleet_owner::accept(accepted_job job)
{
    if (loaded_ && jobs_.find(job.id) == nullptr)
    {
        add_job(std::move(job), may_be_inherited());
        schedule_round();
    }
}

void fleet_owner::charge_rate(job_entry& job, instant at)
{
    const account_settings* account = ports_.config().find(job.job.account);
    if (account == nullptr || rates_.take(job.job.account, account->weight, at))
    {
        return;
    }
    job.excess = true;
    jobs_.mark_changed(job); // The next owner needs the mark.
    ports_.events.emit(
        {event_number::job_over_rate,
         {{"job", job.job.id.str()},
          {"account", job.job.account.str()},
          {"weight", std::to_string(account->weight)}}});
}

void fleet_owner::charge_inherited_rates()
{
    std::vector<job_entry*> counted;
    for (job_entry* job : jobs_.open())
    {
        if (!job->excess)
        {
            counted.push_back(job);
        }
    }
    std::sort(
        counted.begin(),
        counted.end(),
        [](const job_entry* left, const job_entry* right)
        { return left->known_since < right->known_since; });
    for (job_entry* job : counted)
    {
        charge_rate(*job, job->known_since);
    }
}

void fleet_owner::tail_jobs_later(std::size_t topic, milliseconds delay)
{
    ports_.clock.after(
        delay, guarded([topic](fleet_owner& self) { self.tail_jobs(topic); }));
}

void fleet_owner::tail_jobs(std::size_t topic)
{
    const instant sent = ports_.clock.now_with_suspends();
    ports_.store.read(
        topics::job_topics[topic],
        jobs_next_[topic],
        // After a failure the answer shows whether the topic can be read.
        jobs_unreadable_[topic] ? milliseconds::zero()
                                : settings_.jobs_read_wait,
        guarded(
            [topic, sent](fleet_owner& self, const result<store_page>& page)
            {
                if (page)
                {
                    self.apply_jobs_page(topic, *page, sent);
                    if (!page->is_last())
                    {
                        self.report_unread_jobs(topic, "more records follow");
                    }
                    self.tail_jobs_later(
                        topic,
                        page->is_last() ? self.settings_.jobs_read_interval
                                        : milliseconds::zero());
                    return;
                }
                if (page.error().code == refusal_code::offset_expired)
                {
                    // The store always keeps the newest record of each key, so
                    // reading those misses no job.
                    const instant asked = self.ports_.clock.now_with_suspends();
                    self.ports_.store.read_newest(
                        topics::job_topics[topic],
                        {},
                        self.guarded(
                            [topic, asked](
                                fleet_owner& owner,
                                const result<store_page>& newest)
                            {
                                owner.jobs_unreadable_[topic] = !newest;
                                if (newest)
                                {
                                    owner.apply_jobs_page(
                                        topic, *newest, asked);
                                }
                                owner.tail_jobs_later(
                                    topic, owner.settings_.store_retry_delay);
                            }));
                    return;
                }
                self.report_unread_jobs(topic, page.error().message);
                self.jobs_unreadable_[topic] = true;
                self.tail_jobs_later(topic, self.settings_.store_retry_delay);
            }));
}

void fleet_owner::report_unread_jobs(
    std::size_t topic, const std::string& reason)
{
    const milliseconds age =
        ports_.clock.now_with_suspends() - jobs_known_until_[topic];
    if (age > settings_.report_unread_jobs_after)
    {
        ports_.events.emit(
            {event_number::jobs_unread,
             {{"topic", topics::job_topics[topic]},
              {"reason", reason},
              {"age_ms", text_of(age)},
              {"from", std::to_string(jobs_next_[topic])}}});
    }
}

void fleet_owner::apply_jobs_page(
    std::size_t topic, const store_page& page, instant sent)
{
    const bool inherited = may_be_inherited();
    for (const store_record& record : page.records)
    {
        apply_job_record(topic, record, inherited);
    }
    jobs_unreadable_[topic] = false;
    jobs_next_[topic] = std::max(jobs_next_[topic], page.end);
    if (page.is_last())
    {
        jobs_known_until_[topic] = std::max(jobs_known_until_[topic], sent);
    }
    if (!page.records.empty())
    {
        schedule_round();
    }
}

void fleet_owner::read_jobs_now(std::function<void(const result<void>&)> done)
{
    if (!loaded_)
    {
        done(refuse(refusal_code::no_owner, "the owner is loading"));
        return;
    }
    jobs_readers_.push_back(std::move(done));
    read_jobs_for_waiting();
}

void fleet_owner::read_jobs_for_waiting()
{
    if (jobs_read_in_flight_ || jobs_readers_.empty())
    {
        return;
    }
    struct pending_reads
    {
        std::size_t left = topics::job_topics.size();
        result<void> outcome;
        std::vector<std::function<void(const result<void>&)>> readers;
    };
    jobs_read_in_flight_ = true;
    auto reads = std::make_shared<pending_reads>();
    reads->readers.swap(jobs_readers_);
    for (std::size_t topic = 0; topic < topics::job_topics.size(); ++topic)
    {
        read_jobs_now(
            topic,
            [this, reads](const result<void>& read)
            {
                if (!read)
                {
                    reads->outcome = read;
                }
                if (--reads->left > 0)
                {
                    return;
                }
                jobs_read_in_flight_ = false;
                for (const auto& reader : reads->readers)
                {
                    reader(reads->outcome);
                }
                read_jobs_for_waiting();
            });
    }
}

milliseconds fleet_owner::age_of_jobs() const
{
    return ports_.clock.now_with_suspends() -
           *std::min_element(
               jobs_known_until_.begin(), jobs_known_until_.end());
}

milliseconds fleet_owner::age_of_ownership()
{
    const milliseconds by_store =
        confirmed_by_store_
            ? ports_.clock.now_with_suspends() - *confirmed_by_store_
            : milliseconds::max();
    return by_store > settings_.store_confirmation && is_confirmed()
               ? settings_.worker_confirmation
               : by_store;
}

bool fleet_owner::are_jobs_out_of_reach() const
{
    const instant now = ports_.clock.now_with_suspends();
    for (std::size_t topic = 0; topic < jobs_unreadable_.size(); ++topic)
    {
        if (jobs_unreadable_[topic] &&
            now - jobs_known_until_[topic] > settings_.count_without_read)
        {
            return true;
        }
    }
    return false;
}

result<waiting_count> fleet_owner::count_known(const queue_name& queue)
{
    const milliseconds ownership = age_of_ownership();
    const waiting_count count{
        jobs_.pending(queue), std::max(age_of_jobs(), ownership)};
    if (count.age <= settings_.oldest_count)
    {
        report_count(queue, count);
        return count;
    }
    if (ownership > settings_.oldest_count)
    {
        report_refused_count(queue, "ownership");
        return refuse(refusal_code::no_owner, "the ownership is not confirmed");
    }
    report_refused_count(queue, "store");
    return refuse(
        refusal_code::log_unavailable, "the stored jobs cannot be read");
}

void fleet_owner::report_refused_count(
    const queue_name& queue, std::string_view reason)
{
    ports_.metrics.count("fleet_counts_refused", reason, 1);
    ports_.events.emit(
        {event_number::count_refused,
         {{"queue", queue.str()},
          {"reason", std::string(reason)},
          {"age_ms", text_of(age_of_jobs())},
          {"fence", std::to_string(token_)}}});
}

void fleet_owner::report_count(
    const queue_name& queue, const waiting_count& count)
{
    const instant now = ports_.clock.now_with_suspends();
    const std::string ages = absl::StrJoin(
        jobs_known_until_,
        ",",
        [now](std::string* out, instant until)
        { absl::StrAppend(out, text_of(now - until)); });
    const start_counts starts = jobs_.starts_in(queue);
    std::string started;
    for (std::size_t kind = 1; kind < starts.size(); ++kind)
    {
        absl::StrAppend(
            &started,
            started.empty() ? "" : ",",
            std::string(name_of(static_cast<start_evidence>(kind))),
            ":",
            starts[kind]);
    }
    ports_.metrics.sample(
        "fleet_count_age_ms", "", static_cast<double>(count.age.count()));
    ports_.events.emit(
        {event_number::jobs_counted,
         {{"queue", queue.str()},
          {"waiting", std::to_string(count.waiting)},
          {"started", started},
          {"topic_ages_ms", ages},
          {"confirmed_ms",
           confirmed_by_store_ ? text_of(now - *confirmed_by_store_) : ""},
          {"fence", std::to_string(token_)}}});
}

void fleet_owner::read_jobs_now(std::size_t topic, completion<void> done)
{
    const instant sent = ports_.clock.now_with_suspends();
    ports_.store.read(
        topics::job_topics[topic],
        jobs_next_[topic],
        milliseconds::zero(),
        guarded(
            [topic, sent, done = std::move(done)](
                fleet_owner& self, const result<store_page>& page)
            {
                if (!page)
                {
                    done(tl::unexpected(page.error()));
                    return;
                }
                self.apply_jobs_page(topic, *page, sent);
                if (!page->is_last())
                {
                    self.read_jobs_now(topic, done);
                    return;
                }
                done({});
            }));
}

} // namespace acaciastile::fleet
