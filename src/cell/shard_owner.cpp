// Construction, periodic work and release of a shard owner.

#include "cell/shard_owner.hpp"

#include "cell/stream_names.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

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
    check_log();
    if (open_)
    {
        check_deadlines();
        enqueue_delayed_tasks();
        plan_allowances();
        refresh_worker_states();
        decide();
        deliver_moves();
        restate_due_jobs();
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

void shard_owner::fail_waiters()
{
    const error why{
        refusal_code::not_owner,
        verdict::may_have_run,
        "the shard has another owner now",
        {}};
    for (auto& [id, pending] : std::exchange(pending_submissions_, {}))
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
            // The worker left the shard but still runs attempts: keep its link
            // until they have ended, and place nothing new on it.
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
    return requests_.size() == 0 && pending_assignments_.empty() &&
           pending_ends_.empty() && pending_submissions_.empty() &&
           writer_->pending() == 0 &&
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
    std::size_t count = requests_.size() + pending_submissions_.size();
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

} // namespace acaciastile
