// Life of an owner and what it makes of its own stream.

#include "cell/shard_owner.hpp"

#include "cell/stream_names.hpp"
#include "codec/record_codec.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr milliseconds restate_interval{1'000};

/// The k-th of a job's tasks that wait, by index.
std::vector<std::uint32_t> waiting_tasks(const job_progress& job)
{
    std::vector<std::uint32_t> indexes;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
    {
        if (job.tasks[index].state == task_state::queued)
        {
            indexes.push_back(index);
        }
    }
    return indexes;
}

} // namespace

std::unique_ptr<shard_owner> shard_owner::create(shard_owner_parts parts)
{
    std::unique_ptr<shard_owner> made(new shard_owner(std::move(parts)));
    made->write({}, epoch_opened{}, made->settings_.restate_period, nullptr);
    return made;
}

shard_owner::shard_owner(shard_owner_parts parts)
    : shard_(std::move(parts.shard)),
      epoch_(parts.epoch),
      former_owner_silent_(parts.former_owner_silent),
      notify_address_(std::move(parts.notify_address)),
      settings_(parts.settings),
      random_(parts.seed),
      log_(*parts.log),
      gateway_(*parts.workers),
      clock_(*parts.clock),
      host_(*parts.host),
      scheduler_(std::move(parts.decisions)),
      planner_(
          allowance_planner::create(shard_.id, epoch_, settings_.allowance))
{
    const stream_name stream = shard_stream(shard_.id);
    reader_ = stream_reader::create(
        log_,
        stream,
        1,
        settings_.reader,
        [this](const log_entry& entry) { on_entry(entry); },
        [this](log_offset first_kept) { reader_->restart(first_kept); });
    writer_ = record_writer::create(log_, stream, settings_.writer, random_());
    set_rules(host_.cell().rules_in_force());
    for (const worker_entry& worker : shard_.workers)
    {
        scheduler_->set_worker(worker);
    }
}

shard_owner::~shard_owner()
{
    fail_waiters();
}

void shard_owner::tick()
{
    if (lost_)
    {
        return;
    }
    reader_->tick(now());
    if (writer_->wants_read())
    {
        reader_->poll_soon();
    }
    watch_log();
    if (open_)
    {
        check_deadlines();
        wake_delayed();
        plan_allowances();
        refresh_worker_states();
        decide();
        deliver_moves();
        restate_some();
    }
    if (may_act())
    {
        for (auto& [id, worker] : links_)
        {
            worker->tick(host_.last_log_contact());
            if (lost_)
            {
                return;
            }
        }
    }
    writer_->tick(now());
}

bool shard_owner::may_act() const
{
    return open_ && !lost_ &&
           age_of(host_.last_log_contact(), now()) <
               settings_.log_silence_limit;
}

void shard_owner::write(
    const job_id& job,
    shard_change change,
    milliseconds patience,
    completion<fold_outcome> done)
{
    ++unsettled_[job];
    shard_record record{host_.next_record_id(), epoch_, std::move(change)};
    std::string body = encode(record);
    std::weak_ptr<bool> alive = alive_;
    writer_->write(
        now(),
        record.id,
        std::move(body),
        patience,
        [this, alive, job, done = std::move(done)](result<fold_outcome> outcome)
        {
            if (alive.expired())
            {
                return;
            }
            settled(job);
            if (done)
            {
                done(std::move(outcome));
            }
        });
}

void shard_owner::settled(const job_id& job)
{
    auto at = unsettled_.find(job);
    if (--at->second == 0)
    {
        unsettled_.erase(at);
    }
}

void shard_owner::fail_waiters()
{
    const error why{
        refusal_code::not_owner,
        verdict::may_have_run,
        "the shard has another owner now",
        {}};
    for (auto& [id, pending] : std::exchange(accepting_, {}))
    {
        for (auto& waiter : pending.waiters)
        {
            waiter(tl::unexpected(why));
        }
    }
    for (auto& [id, waiters] : std::exchange(answer_waiters_, {}))
    {
        for (auto& waiter : waiters)
        {
            waiter(tl::unexpected(why));
        }
    }
    std::vector<job_id> live;
    for (const auto& [id, request] : requests_.live())
    {
        live.push_back(id);
    }
    for (const job_id& id : live)
    {
        error told = why;
        told.effect = requests_.find(id)->may_have_run ? verdict::may_have_run
                                                       : verdict::not_run;
        requests_.finish(now(), id, tl::unexpected(told), false);
    }
}

void shard_owner::on_entry(const log_entry& entry)
{
    result<shard_record> record = decode_shard_record(entry.body);
    if (!record)
    {
        return;
    }
    const fold_outcome outcome = fold_.apply(entry.offset, *record);
    if (fold_.epoch() > epoch_)
    {
        on_epoch_lost({});
        return;
    }
    if (!open_ && fold_.epoch() == epoch_)
    {
        open();
    }
    else if (open_ && outcome.accepted())
    {
        follow(*record, outcome);
    }
    writer_->settle(record->id, outcome);
}

void shard_owner::open()
{
    open_ = true;
    for (const worker_entry& worker : shard_.workers)
    {
        add_link(worker);
    }
    for (const auto& [id, job] : fold_.jobs())
    {
        if (!job.moved_to.empty())
        {
            moves_.emplace(id, now());
            continue;
        }
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index)
        {
            const task_progress& task = job.tasks[index];
            if (is_final(task.state) || task.worker.empty())
            {
                continue;
            }
            const attempt_id attempt{{id, index}, task.attempts};
            if (worker_link* holder = link(task.worker))
            {
                holder->adopt(attempt);
                scheduler_->occupy(
                    make_request(job.spec, {}), index, task.worker);
                continue;
            }
            // Its worker is in no inventory any more: only time tells.
            delayed_.emplace(former_owner_silent_, attempt.task);
        }
        enqueue_waiting(job);
    }
}

void shard_owner::follow(
    const shard_record& record, const fold_outcome& outcome)
{
    (void)outcome;
    if (const auto* accepted = std::get_if<job_accepted>(&record.change))
    {
        enqueue_waiting(*fold_.find(accepted->spec.id));
    }
    else if (auto* assigned = std::get_if<attempt_assigned>(&record.change))
    {
        follow_assigned(*assigned);
    }
    else if (const auto* ended = std::get_if<attempt_ended>(&record.change))
    {
        follow_ended(*ended);
    }
    else if (const auto* gone = std::get_if<job_cancelled>(&record.change))
    {
        follow_cancelled(gone->job);
    }
    else if (const auto* moved = std::get_if<job_moved>(&record.change))
    {
        dequeue(moved->job);
        send_on_waiters(moved->job);
        moves_.emplace(moved->job, now());
    }
}

void shard_owner::follow_assigned(const attempt_assigned& assigned)
{
    const task_id& task = assigned.attempt.task;
    const job_progress* job = fold_.find(task.job);
    auto decided = assigning_.find(task);
    if (decided == assigning_.end() || decided->second != assigned.worker)
    {
        // An earlier assignment whose answer was lost came through.
        scheduler_->occupy(
            make_request(job->spec, {}), task.index, assigned.worker);
    }
    assigning_.erase(task);
    queued_.erase(task);
    queued_at_.erase(task);
    worker_link* holder = link(assigned.worker);
    if (holder == nullptr)
    {
        end_attempt(
            assigned.attempt,
            task_state::queued,
            {},
            "the worker left the inventory before the start");
        return;
    }
    holder->start(make_start(job->spec, assigned.attempt));
}

void shard_owner::follow_ended(const attempt_ended& ended)
{
    const job_progress* job = fold_.find(ended.attempt.task.job);
    ending_.erase(ended.attempt);
    for (auto& [id, worker] : links_)
    {
        if (worker->held().contains(ended.attempt))
        {
            worker->forget(ended.attempt);
        }
    }
    if (job == nullptr)
    {
        return;
    }
    const std::uint32_t index = ended.attempt.task.index;
    const task_progress& task = job->tasks[index];
    if (task.state != task_state::queued)
    {
        answer_waiters(job->spec.id, task.state, job->answer, job->reason);
        return;
    }
    if (ended.reason.empty())
    {
        enqueue(job->spec, {index});
        return;
    }
    milliseconds delay = settings_.retry_after_failure;
    for (std::uint32_t done = 1; done < task.attempts; ++done)
    {
        delay = std::min(delay * 2, settings_.retry_after_failure_cap);
    }
    delayed_.emplace(now() + delay, ended.attempt.task);
}

void shard_owner::follow_cancelled(const job_id& id)
{
    const job_progress* job = fold_.find(id);
    dequeue(id);
    for (std::uint32_t index = 0; index < job->tasks.size(); ++index)
    {
        const task_progress& task = job->tasks[index];
        queued_at_.erase({id, index});
        if (worker_link* holder = link(task.worker))
        {
            const attempt_id attempt{{id, index}, task.attempts};
            if (holder->take_back(attempt))
            {
                scheduler_->end(attempt.task, {});
                end_attempt(attempt, task_state::cancelled, {}, {});
                continue;
            }
            holder->stop(attempt, stop_manner::stop);
        }
    }
    emit(event_number::job_cancelled, {{"job", id.str()}});
    if (job->is_final())
    {
        answer_waiters(id, task_state::cancelled, {}, {});
    }
}

void shard_owner::send_on_waiters(const job_id& job)
{
    auto node = answer_waiters_.extract(job);
    if (node.empty())
    {
        return;
    }
    // The caller's entry asks again and is told where the job went.
    for (const auto& waiter : node.mapped())
    {
        waiter(refuse(
            refusal_code::not_owner,
            verdict::may_have_run,
            "the request went to another shard"));
    }
}

void shard_owner::watch_log()
{
    const bool up = !reader_->failing();
    if (up == log_up_ || !open_)
    {
        return;
    }
    log_up_ = up;
    emit(
        up ? event_number::log_up : event_number::log_down,
        {{"stream", shard_stream(shard_.id).str()}});
    for (const auto& [id, job] : fold_.jobs())
    {
        if (job.is_final() || !job.moved_to.empty())
        {
            continue;
        }
        if (up)
        {
            enqueue_waiting(job);
        }
        else
        {
            dequeue(id);
        }
    }
}

void shard_owner::restate_some()
{
    if (now() < next_restate_ || !log_up_ || fold_.jobs().empty())
    {
        return;
    }
    if (next_restate_ == instant{})
    {
        next_restate_ = now() + restate_interval;
        return;
    }
    next_restate_ = now() + restate_interval;
    const std::size_t all = fold_.jobs().size();
    const std::size_t rounds = static_cast<std::size_t>(
        std::max<std::int64_t>(1, settings_.restate_period / restate_interval));
    // Where there are fewer jobs than rounds, only some rounds restate one.
    const std::size_t whole = all / rounds;
    const bool extra = random_() % rounds < all % rounds;
    std::size_t count = whole + (extra ? 1 : 0);
    auto at = fold_.jobs().upper_bound(restated_last_);
    while (count-- > 0)
    {
        if (at == fold_.jobs().end())
        {
            at = fold_.jobs().begin();
        }
        restated_last_ = at->first;
        if (!unsettled_.contains(at->first))
        {
            write(
                at->first,
                shard_fold::restate(at->second),
                settings_.write_patience,
                {});
        }
        ++at;
    }
}

void shard_owner::set_shard(shard_info shard)
{
    std::set<worker_id> kept;
    for (const worker_entry& worker : shard.workers)
    {
        kept.insert(worker.id);
        scheduler_->set_worker(worker);
        if (open_ && link(worker.id) == nullptr)
        {
            add_link(worker);
        }
    }
    for (const worker_entry& worker : shard_.workers)
    {
        if (kept.contains(worker.id))
        {
            continue;
        }
        worker_link* gone = link(worker.id);
        if (gone != nullptr && !gone->held().empty())
        {
            // It keeps its link, closed, until what runs there has ended.
            scheduler_->set_worker_state(worker.id, worker_state::closed);
            continue;
        }
        links_.erase(worker.id);
        scheduler_->remove_worker(worker.id);
    }
    shard_ = std::move(shard);
}

void shard_owner::set_rules(const rules& in_force)
{
    scheduler_->set_rules(in_force);
    next_plan_ = instant{};
}

void shard_owner::on_notice(const worker_id& worker)
{
    if (worker_link* told = link(worker))
    {
        told->call_soon();
    }
}

void shard_owner::declare_dead(const worker_id& worker)
{
    if (worker_link* dead = link(worker))
    {
        dead->declare_dead();
    }
}

void shard_owner::begin_release()
{
    releasing_ = true;
}

bool shard_owner::may_release() const
{
    auto quiet = [](const auto& entry) { return !entry.second->in_flight(); };
    return requests_.size() == 0 && assigning_.empty() && ending_.empty() &&
           accepting_.empty() && writer_->pending() == 0 &&
           std::all_of(links_.begin(), links_.end(), quiet);
}

void shard_owner::silence()
{
    for (auto& [id, worker] : links_)
    {
        worker->silence();
    }
}

std::size_t shard_owner::requests_in_hand() const noexcept
{
    std::size_t count = requests_.size() + accepting_.size();
    for (const auto& [id, waiters] : answer_waiters_)
    {
        count += waiters.size();
    }
    return count;
}

std::size_t shard_owner::attempts_held() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : links_)
    {
        count += worker->held().size();
    }
    return count;
}

std::uint64_t shard_owner::appends_sent() const
{
    return writer_->appends_sent();
}

std::uint64_t shard_owner::worker_calls_sent() const
{
    std::uint64_t count = 0;
    for (const auto& [id, worker] : links_)
    {
        count += worker->calls_sent();
    }
    return count;
}

void shard_owner::set_batch_interval(milliseconds interval)
{
    writer_->set_batch_interval(interval);
}

worker_link* shard_owner::link(const worker_id& worker)
{
    auto at = links_.find(worker);
    return at == links_.end() ? nullptr : at->second.get();
}

void shard_owner::add_link(const worker_entry& entry)
{
    links_.emplace(
        entry.id,
        worker_link::create(
            entry,
            shard_.id,
            epoch_,
            former_owner_silent_,
            notify_address_,
            settings_.link,
            random_(),
            gateway_,
            clock_,
            *this));
}

void shard_owner::emit(
    event_number number,
    std::vector<std::pair<std::string_view, std::string>> fields)
{
    fields.emplace_back("shard", shard_.id.str());
    fields.emplace_back("epoch", std::to_string(epoch_));
    host_.events().emit({number, std::move(fields)});
}

void shard_owner::enqueue_waiting(const job_progress& job)
{
    std::vector<std::uint32_t> indexes = waiting_tasks(job);
    std::erase_if(
        indexes,
        [this, &job](std::uint32_t index)
        {
            const task_id task{job.spec.id, index};
            return assigning_.contains(task) || queued_.contains(task);
        });
    if (!indexes.empty() && job.moved_to.empty())
    {
        enqueue(job.spec, std::move(indexes));
    }
}

} // namespace acaciastile
