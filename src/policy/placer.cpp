#include "policy/placer.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Jobs of each size class that one pass over a team's queue tries.
constexpr std::size_t max_tries_per_class = 4;
/// Workers with enough capacity compared for one task.
constexpr std::size_t max_candidates = 8;
/// The same for a service task, which is spread over racks and data centres.
constexpr std::size_t max_spread_candidates = 256;
/// Penalty for each running task of the same service in the worker's rack or
/// data centre. It is added to the worker's leftover capacity, where 1.0 is the
/// processors, or the memory, of an average worker.
constexpr double same_rack_penalty = 4.0;
constexpr double same_data_centre_penalty = 2.0;
/// A task may backfill reserved capacity if it would end before the reservation
/// is ready even if it took this many times the longest remembered run.
constexpr int backfill_factor = 2;
/// Interval at which a job with an incomplete reservation is also tried on
/// workers outside the reservation.
constexpr milliseconds retry_interval{1'000};

} // namespace

void placer::begin()
{
    for (job_slot slot : to_requeue_)
    {
        state_.requeue(slot);
    }
    to_requeue_.clear();
    refresh_reserved_classes();
    probes_due_ = state_.health.due_probes(state_.now);
    probe_classes_ = class_set{};
    for (worker_slot worker : probes_due_)
    {
        resources free = state_.workers.at(worker).free();
        if (!free.has_negative())
        {
            probe_classes_.insert(class_of(free).index());
        }
    }
    probe_classes_ = probe_classes_.downward_closure();
}

void placer::refresh_reserved_classes()
{
    reserved_classes_ = class_set{};
    for (const reservation& one : reserved_.all())
    {
        for (const reserved_worker& reserved : one.workers)
        {
            resources free = state_.workers.at(reserved.worker).free();
            if (!free.has_negative())
            {
                reserved_classes_.insert(class_of(free).index());
            }
        }
    }
    reserved_classes_ = reserved_classes_.downward_closure();
}

bool placer::should_attempt(reservation& one) const
{
    std::int64_t ready = 0;
    for (const reserved_worker& reserved : one.workers)
    {
        const pool_worker& worker = state_.workers.at(reserved.worker);
        ready += tasks_that_fit(one.size, worker.free(), reserved.tasks);
    }
    if (ready < one.tasks && state_.now < one.next_attempt)
    {
        return false;
    }
    one.next_attempt = state_.now + retry_interval;
    return true;
}

void placer::place_reservations(std::size_t limit, decisions& decided)
{
    auto& all = reserved_.all();
    for (std::size_t at = 0; at < all.size();)
    {
        reservation one = all[at];
        const job_entry& job = state_.jobs.at(one.job);
        auto tasks = static_cast<std::size_t>(one.tasks);
        bool within_limit = decided.placements.empty() ||
                            decided.placements.size() + tasks <= limit;
        bool within_allowance = state_.allowance_needed(job).fits_in(
            state_.teams.remaining_allowance(job.team));
        if (!within_limit || !within_allowance || !should_attempt(all[at]))
        {
            ++at;
            continue;
        }
        reserved_.release(one);
        if (place_all(one.job, tasks, one.workers, decided))
        {
            reserved_.hold(one);
            reserved_.drop(at);
            continue;
        }
        reserved_.hold(one);
        ++at;
    }
}

void placer::place_tier(queue_tier tier, std::size_t limit, decisions& decided)
{
    const auto& order =
        state_.team_orders[static_cast<std::size_t>(tier)].order();
    candidate_classes_stale_ = true;
    auto at = order.begin();
    while (at != order.end() && decided.placements.size() < limit)
    {
        share_order::key key = *at;
        // Capacity and allowances only shrink in this loop, so a team that
        // could place nothing is not tried again. A placement moves its team
        // to a later position; the loop resumes at the team's old key.
        at = place_next(tier, key.second, limit, decided)
                 ? order.lower_bound(key)
                 : std::next(at);
    }
}

void placer::refresh_candidate_classes(queue_tier tier)
{
    candidate_classes_ = state_.workers.reachable();
    candidate_classes_ -= state_.failed_fits.exhausted_classes();
    if (!probes_due_.empty())
    {
        candidate_classes_ |= probe_classes_;
    }
    candidate_classes_ |= tier == queue_tier::shared
                              ? reserved_classes_
                              : state_.workers.reserved_reachable();
    candidate_classes_stale_ = false;
}

void placer::collect_cursors(queue_tier tier, const waiting_jobs& queue)
{
    cursors_.clear();
    if (candidate_classes_stale_)
    {
        refresh_candidate_classes(tier);
    }
    queue.classes().for_each_common(
        candidate_classes_,
        [this, &queue](std::uint16_t index)
        {
            const job_queue& jobs = queue.of_class(index);
            cursors_.push_back({*jobs.begin(), &jobs, jobs.begin(), 0});
        });
    if (!queue.gangs().empty())
    {
        const job_queue& gangs = queue.gangs();
        cursors_.push_back({*gangs.begin(), &gangs, gangs.begin(), 0});
    }
}

bool placer::place_next(
    queue_tier tier, team_slot team, std::size_t limit, decisions& decided)
{
    collect_cursors(tier, *state_.waiting_of(tier, team));
    auto older = [](const queue_cursor& left, const queue_cursor& right)
    { return left.key < right.key; };
    while (!cursors_.empty())
    {
        auto oldest = std::min_element(cursors_.begin(), cursors_.end(), older);
        if (try_job(std::get<job_slot>(oldest->key), limit, decided))
        {
            return true;
        }
        ++oldest->at;
        if (++oldest->tried >= max_tries_per_class ||
            oldest->at == oldest->queue->end())
        {
            *oldest = cursors_.back();
            cursors_.pop_back();
        }
        else
        {
            oldest->key = *oldest->at;
        }
    }
    return false;
}

bool placer::try_job(job_slot slot, std::size_t limit, decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    if (state_.withdrawn.may_contain(job.request.job))
    {
        return false;
    }
    if (!state_.allowance_needed(job).fits_in(
            state_.teams.remaining_allowance(job.team)))
    {
        return false;
    }
    return job.is_gang() ? place_gang(slot, limit, decided)
                         : place_one(slot, decided);
}

worker_slot placer::pick(const job_entry& job, const resources& size) const
{
    if (job.queue.policy == work_class::service)
    {
        return pick_spread_worker(job, size);
    }
    auto no_penalty = [](worker_slot) { return 0.0; };
    return state_.workers.best_fit(size, max_candidates, no_penalty);
}

worker_slot
placer::pick_spread_worker(const job_entry& job, const resources& size) const
{
    absl::flat_hash_map<std::uint32_t, double> crowding_at;
    for (const auto& [index, task] : job.running)
    {
        const pool_worker& worker = state_.workers.at(task.worker);
        crowding_at[worker.rack] += same_rack_penalty;
        crowding_at[worker.data_centre] += same_data_centre_penalty;
    }
    auto penalty_of = [this, &crowding_at](worker_slot slot)
    {
        const pool_worker& worker = state_.workers.at(slot);
        auto rack = crowding_at.find(worker.rack);
        auto data_centre = crowding_at.find(worker.data_centre);
        return (rack == crowding_at.end() ? 0.0 : rack->second) +
               (data_centre == crowding_at.end() ? 0.0 : data_centre->second);
    };
    return state_.workers.best_fit(size, max_spread_candidates, penalty_of);
}

bool placer::place_one(job_slot slot, decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    if (class_of(size).index() != job.queued_class)
    {
        // The estimated size has changed class since the job was queued;
        // the next call queues the job under the new class.
        to_requeue_.push_back(slot);
        return false;
    }
    if (place_probe(slot, size, decided))
    {
        return true;
    }
    worker_slot worker = no_slot;
    if (!state_.failed_fits.known_not_to_fit(size))
    {
        worker = pick(job, size);
        if (worker == no_slot)
        {
            state_.failed_fits.add_failure(size);
            candidate_classes_stale_ = true;
        }
    }
    if (worker == no_slot)
    {
        worker = pick_reserved(job, size);
    }
    if (worker == no_slot)
    {
        return false;
    }
    place(slot, *job.waiting.begin(), worker, size, decided);
    return true;
}

bool placer::place_probe(
    job_slot slot, const resources& size, decisions& decided)
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
        place(slot, index, worker, size, decided);
        job.running.at(index).probe = true;
        state_.health.probe_started(worker);
        probes_due_.erase(
            std::find(probes_due_.begin(), probes_due_.end(), worker));
        return true;
    }
    return false;
}

bool placer::place_gang(job_slot slot, std::size_t limit, decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    // A gang that exceeds the rest of the limit waits for a later call. One
    // larger than the whole limit is placed only as the first of a call.
    if (!decided.placements.empty() &&
        decided.placements.size() + job.waiting.size() > limit)
    {
        return false;
    }
    return place_all(slot, job.waiting.size(), {}, decided);
}

worker_slot
placer::pick_reserved(const job_entry& job, const resources& size) const
{
    if (job.tier() != queue_tier::shared)
    {
        auto allowed = [this](worker_slot worker)
        { return !reserved_.is_reserved_by_starving_job(worker); };
        return state_.workers.reserved_fit(size, allowed);
    }
    run_estimates::duration_estimate run =
        state_.estimates.duration_of(job.group);
    if (!run.known || !reserved_classes_.contains(class_of(size).index()))
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
        for (const reserved_worker& reserved : one.workers)
        {
            if (size.fits_in(state_.workers.at(reserved.worker).free()))
            {
                return reserved.worker;
            }
        }
    }
    return no_slot;
}

bool placer::place_all(
    job_slot slot,
    std::size_t tasks,
    const std::vector<reserved_worker>& own,
    decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    std::vector<worker_slot> chosen;
    auto next_own = own.begin();
    while (chosen.size() < tasks)
    {
        while (next_own != own.end() &&
               !size.fits_in(state_.workers.at(next_own->worker).available()))
        {
            ++next_own;
        }
        worker_slot worker =
            next_own != own.end() ? next_own->worker : pick(job, size);
        if (worker == no_slot)
        {
            break;
        }
        state_.workers.allocate(worker, size);
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
        place(slot, indexes[at], chosen[at], size, decided);
    }
    return true;
}

void placer::place(
    job_slot slot,
    std::uint32_t index,
    worker_slot worker,
    const resources& charged,
    decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    decided.placements.push_back(
        {{job.request.job, index},
         state_.workers.at(worker).entry.id,
         min(charged, job.request.each)});
    state_.start_task(slot, index, worker, charged);
    candidate_classes_stale_ = true;
}

} // namespace acaciastile::impl
