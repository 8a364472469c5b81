#include "policy/placer.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Jobs of one size class that are tried before the class is passed over.
constexpr std::size_t tries_of_class = 4;
/// Workers with room that are compared for one task.
constexpr std::size_t workers_compared = 8;

} // namespace

void placer::begin()
{
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

void placer::place_tier(queue_tier tier, std::size_t limit, decisions& made)
{
    const auto& order = state_.orders[static_cast<std::size_t>(tier)].order();
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

void placer::collect_heads(const waiting_jobs& queue)
{
    heads_.clear();
    class_set open = state_.workers.reachable();
    open -= state_.without_room.full();
    if (!probes_due_.empty())
    {
        open |= probe_classes_;
    }
    queue.classes().for_each_common(
        open,
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
    collect_heads(*state_.waiting_of(tier, team));
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
    if (!job.need().fits_in(state_.teams.left(job.team)))
    {
        return false;
    }
    return job.is_gang() ? place_gang(slot, limit, made)
                         : place_one(slot, made);
}

worker_slot placer::pick(const job_entry&, const resources& size) const
{
    auto no_penalty = [](worker_slot) { return 0.0; };
    return state_.workers.best_fit(size, workers_compared, no_penalty);
}

bool placer::place_one(job_slot slot, decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    if (place_probe(slot, size, made))
    {
        return true;
    }
    if (state_.without_room.is_known(size))
    {
        return false;
    }
    worker_slot worker = pick(job, size);
    if (worker == no_slot)
    {
        state_.without_room.failed(size);
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
    resources size = state_.charge_of(job);
    std::vector<worker_slot> chosen;
    while (chosen.size() < job.waiting.size())
    {
        worker_slot worker = pick(job, size);
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
    if (chosen.size() < job.waiting.size())
    {
        return false;
    }
    std::vector<std::uint32_t> indexes(job.waiting.begin(), job.waiting.end());
    for (std::size_t at = 0; at < indexes.size(); ++at)
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
}

} // namespace acaciastile::impl
