#include "policy/placer.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Jobs of one size class that are tried before the class is passed over.
constexpr std::size_t tries_of_class = 4;
/// Workers with room that are compared for one task.
constexpr std::size_t workers_compared = 8;
constexpr std::size_t workers_compared_to_spread = 256;
/// What a task of the same service costs in the same rack or data centre, in
/// average workers left over.
constexpr double same_rack_penalty = 4.0;
constexpr double same_data_centre_penalty = 2.0;
/// A task may use kept room when this many times its longest remembered run
/// ends before the room is needed.
constexpr int backfill_factor = 2;
/// A reservation that is not complete is tried with other workers this often.
constexpr milliseconds look_elsewhere_every{1'000};

} // namespace

void placer::begin()
{
    for (job_slot slot : moved_)
    {
        state_.file(slot);
    }
    moved_.clear();
    look_at_kept();
    probes_due_ = state_.health.due(state_.now);
    probe_classes_ = class_set{};
    for (worker_slot worker : probes_due_)
    {
        resources free = state_.workers.at(worker).free();
        if (!free.has_negative())
        {
            probe_classes_.insert(class_of(free).index());
        }
    }
    probe_classes_ = probe_classes_.covered();
}

void placer::look_at_kept()
{
    kept_classes_ = class_set{};
    for (const reservation& one : reserved_.all())
    {
        for (const kept_room& room : one.rooms)
        {
            resources free = state_.workers.at(room.worker).free();
            if (!free.has_negative())
            {
                kept_classes_.insert(class_of(free).index());
            }
        }
    }
    kept_classes_ = kept_classes_.covered();
}

bool placer::worth_trying(reservation& one) const
{
    std::int64_t ready = 0;
    for (const kept_room& room : one.rooms)
    {
        const pool_worker& worker = state_.workers.at(room.worker);
        ready += tasks_that_fit(one.size, worker.free(), room.tasks);
    }
    if (ready < one.tasks && state_.now < one.next_try)
    {
        return false;
    }
    one.next_try = state_.now + look_elsewhere_every;
    return true;
}

void placer::place_reserved(std::size_t limit, decisions& made)
{
    auto& all = reserved_.all();
    for (std::size_t at = 0; at < all.size();)
    {
        reservation one = all[at];
        const job_entry& job = state_.jobs.at(one.job);
        auto tasks = static_cast<std::size_t>(one.tasks);
        bool within =
            made.placements.empty() || made.placements.size() + tasks <= limit;
        bool allowed = state_.need_of(job).fits_in(state_.teams.left(job.team));
        if (!within || !allowed || !worth_trying(all[at]))
        {
            ++at;
            continue;
        }
        reserved_.open(one);
        if (place_all(one.job, tasks, one.rooms, made))
        {
            reserved_.keep(one);
            reserved_.drop(at);
            continue;
        }
        reserved_.keep(one);
        ++at;
    }
}

void placer::place_tier(queue_tier tier, std::size_t limit, decisions& made)
{
    const auto& order = state_.orders[static_cast<std::size_t>(tier)].order();
    open_stale_ = true;
    auto at = order.begin();
    while (at != order.end() && made.placements.size() < limit)
    {
        share_order::key key = *at;
        // Room and allowances only shrink here: a team that failed once
        // fails for the rest of the call, one that placed moves on.
        at = place_next(tier, key.second, limit, made) ? order.lower_bound(key)
                                                       : std::next(at);
    }
}

void placer::look_at_open(queue_tier tier)
{
    open_ = state_.workers.reachable();
    open_ -= state_.without_room.full();
    if (!probes_due_.empty())
    {
        open_ |= probe_classes_;
    }
    open_ |= tier == queue_tier::shared ? kept_classes_
                                        : state_.workers.kept_reachable();
    open_stale_ = false;
}

void placer::collect_heads(queue_tier tier, const waiting_jobs& queue)
{
    heads_.clear();
    if (open_stale_)
    {
        look_at_open(tier);
    }
    queue.classes().for_each_common(
        open_,
        [this, &queue](std::uint16_t index)
        {
            const job_queue& jobs = queue.of_class(index);
            heads_.push_back({*jobs.begin(), &jobs, jobs.begin(), 0});
        });
    if (!queue.gangs().empty())
    {
        const job_queue& gangs = queue.gangs();
        heads_.push_back({*gangs.begin(), &gangs, gangs.begin(), 0});
    }
}

bool placer::place_next(
    queue_tier tier, team_slot team, std::size_t limit, decisions& made)
{
    collect_heads(tier, *state_.waiting_of(tier, team));
    auto older = [](const head& left, const head& right)
    { return left.key < right.key; };
    while (!heads_.empty())
    {
        auto oldest = std::min_element(heads_.begin(), heads_.end(), older);
        if (try_job(std::get<job_slot>(oldest->key), limit, made))
        {
            return true;
        }
        ++oldest->at;
        if (++oldest->tried >= tries_of_class ||
            oldest->at == oldest->queue->end())
        {
            *oldest = heads_.back();
            heads_.pop_back();
        }
        else
        {
            oldest->key = *oldest->at;
        }
    }
    return false;
}

bool placer::try_job(job_slot slot, std::size_t limit, decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    if (state_.withdrawn.may_contain(job.request.job))
    {
        return false;
    }
    if (!state_.need_of(job).fits_in(state_.teams.left(job.team)))
    {
        return false;
    }
    return job.is_gang() ? place_gang(slot, limit, made)
                         : place_one(slot, made);
}

worker_slot placer::pick(const job_entry& job, const resources& size) const
{
    if (job.queue.policy == work_class::service)
    {
        return pick_spread(job, size);
    }
    auto no_penalty = [](worker_slot) { return 0.0; };
    return state_.workers.best_fit(size, workers_compared, no_penalty);
}

worker_slot
placer::pick_spread(const job_entry& job, const resources& size) const
{
    absl::flat_hash_map<std::uint32_t, double> in_place;
    for (const auto& [index, task] : job.running)
    {
        const pool_worker& worker = state_.workers.at(task.worker);
        in_place[worker.rack] += same_rack_penalty;
        in_place[worker.data_centre] += same_data_centre_penalty;
    }
    auto crowding = [this, &in_place](worker_slot slot)
    {
        const pool_worker& worker = state_.workers.at(slot);
        auto rack = in_place.find(worker.rack);
        auto data_centre = in_place.find(worker.data_centre);
        return (rack == in_place.end() ? 0.0 : rack->second) +
               (data_centre == in_place.end() ? 0.0 : data_centre->second);
    };
    return state_.workers.best_fit(size, workers_compared_to_spread, crowding);
}

bool placer::place_one(job_slot slot, decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    if (class_of(size).index() != job.filed_class)
    {
        // What was learnt since moves it to the queue of its class now.
        moved_.push_back(slot);
        return false;
    }
    if (place_probe(slot, size, made))
    {
        return true;
    }
    worker_slot worker = no_slot;
    if (!state_.without_room.is_known(size))
    {
        worker = pick(job, size);
        if (worker == no_slot)
        {
            state_.without_room.failed(size);
            open_stale_ = true;
        }
    }
    if (worker == no_slot)
    {
        worker = pick_kept(job, size);
    }
    if (worker == no_slot)
    {
        return false;
    }
    place(slot, *job.waiting.begin(), worker, size, made);
    return true;
}

bool placer::place_probe(job_slot slot, const resources& size, decisions& made)
{
    job_entry& job = state_.jobs.at(slot);
    if (job.queue.policy != work_class::batch || !job.request.repeatable)
    {
        return false;
    }
    for (worker_slot worker : probes_due_)
    {
        const pool_worker& due = state_.workers.at(worker);
        if (!due.is_open() || !size.fits_in(due.free()))
        {
            continue;
        }
        std::uint32_t index = *job.waiting.begin();
        place(slot, index, worker, size, made);
        job.running.at(index).probe = true;
        state_.health.probe_started(worker);
        probes_due_.erase(
            std::find(probes_due_.begin(), probes_due_.end(), worker));
        return true;
    }
    return false;
}

bool placer::place_gang(job_slot slot, std::size_t limit, decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    // A gang larger than one call's limit is placed in a call of its own.
    if (!made.placements.empty() &&
        made.placements.size() + job.waiting.size() > limit)
    {
        return false;
    }
    return place_all(slot, job.waiting.size(), {}, made);
}

worker_slot placer::pick_kept(const job_entry& job, const resources& size) const
{
    if (job.tier() != queue_tier::shared)
    {
        auto allowed = [this](worker_slot worker)
        { return !reserved_.is_starving(worker); };
        return state_.workers.kept_fit(size, allowed);
    }
    run_estimates::run_estimate run = state_.estimates.run_of(job.group);
    if (!run.known || !kept_classes_.contains(class_of(size).index()))
    {
        return no_slot;
    }
    instant end = state_.now + run.longest * backfill_factor;
    for (const reservation& one : reserved_.all())
    {
        if (end > one.ready_at)
        {
            continue;
        }
        for (const kept_room& room : one.rooms)
        {
            if (size.fits_in(state_.workers.at(room.worker).free()))
            {
                return room.worker;
            }
        }
    }
    return no_slot;
}

bool placer::place_all(
    job_slot slot,
    std::size_t tasks,
    const std::vector<kept_room>& own,
    decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    std::vector<worker_slot> chosen;
    auto own_at = own.begin();
    while (chosen.size() < tasks)
    {
        while (own_at != own.end() &&
               !size.fits_in(state_.workers.at(own_at->worker).room()))
        {
            ++own_at;
        }
        worker_slot worker =
            own_at != own.end() ? own_at->worker : pick(job, size);
        if (worker == no_slot)
        {
            break;
        }
        state_.workers.hold(worker, size);
        chosen.push_back(worker);
    }
    for (worker_slot worker : chosen)
    {
        state_.workers.release(worker, size);
    }
    if (chosen.size() < tasks)
    {
        return false;
    }
    std::vector<std::uint32_t> indexes(job.waiting.begin(), job.waiting.end());
    for (std::size_t at = 0; at < tasks; ++at)
    {
        place(slot, indexes[at], chosen[at], size, made);
    }
    return true;
}

void placer::place(
    job_slot slot,
    std::uint32_t index,
    worker_slot worker,
    const resources& charged,
    decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    made.placements.push_back(
        {{job.request.job, index},
         state_.workers.at(worker).entry.id,
         min(charged, job.request.each)});
    state_.start(slot, index, worker, charged);
    open_stale_ = true;
}

} // namespace acaciastile::impl
