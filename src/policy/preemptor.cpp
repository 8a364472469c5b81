#include "policy/preemptor.hpp"

#include <algorithm>
#include <tuple>

namespace acaciastile::impl
{

namespace
{

constexpr milliseconds urgent_patience{300};
constexpr milliseconds claim_lasts{15'000};
/// What ends by itself within this time is not stopped.
constexpr milliseconds ends_soon{30'000};
constexpr std::size_t claims_at_once = 16;
/// Searches for victims in one call, and the time to the next such call.
constexpr std::size_t searches_at_once = 4;
constexpr milliseconds search_every{50};
constexpr std::size_t workers_looked_at = 256;
/// Part of a worker that standing headroom may take at most.
constexpr std::int64_t headroom_divisor = 8;
constexpr double no_share = -1.0;

} // namespace

bool preemptor::is_claimed(job_slot job) const
{
    auto of_job = [job](const urgent_claim& one) { return one.job == job; };
    return std::any_of(claims_.begin(), claims_.end(), of_job);
}

bool preemptor::is_claimed_worker(worker_slot worker) const
{
    auto on = [worker](const urgent_claim& one)
    { return one.worker == worker; };
    return std::any_of(claims_.begin(), claims_.end(), on);
}

void preemptor::drop(std::size_t at)
{
    urgent_claim one = claims_[at];
    claims_.erase(claims_.begin() + static_cast<std::ptrdiff_t>(at));
    state_.workers.keep(one.worker, one.size * -1);
    state_.gained_room(one.worker);
}

void preemptor::refresh()
{
    for (std::size_t at = claims_.size(); at-- > 0;)
    {
        const urgent_claim& one = claims_[at];
        const pool_worker& worker = state_.workers.at(one.worker);
        bool usable = worker.is_open() && worker.use == worker_use::common;
        const job_entry& job = state_.jobs.at(one.job);
        bool wanted = job.order == one.order && !job.waiting.empty() &&
                      state_.now <= one.until;
        if (!usable || !wanted)
        {
            drop(at);
        }
    }
    renew_headroom();
}

void preemptor::renew_headroom()
{
    std::size_t every = state_.settings.headroom_every;
    std::size_t count = state_.workers.size();
    if (every == 0 ||
        (state_.largest_urgent == headroom_ && count == headroom_workers_))
    {
        return;
    }
    headroom_ = state_.largest_urgent;
    headroom_workers_ = count;
    for (const auto& [worker, size] : standing_)
    {
        state_.workers.keep(worker, size * -1);
        state_.gained_room(worker);
    }
    standing_.clear();
    for (std::size_t at = every - 1; at < count; at += every)
    {
        auto slot = static_cast<worker_slot>(at);
        const resources& held = state_.workers.at(slot).entry.capacity;
        // A task as large as the worker must find another one like it.
        if (state_.workers.count_of_capacity(held) < every)
        {
            continue;
        }
        resources most{
            held.milli_processors / headroom_divisor,
            held.memory_mib / headroom_divisor,
            0};
        resources size = min(headroom_, most);
        standing_.emplace_back(slot, size);
        state_.workers.keep(slot, size);
    }
}

std::vector<task_ref>
preemptor::preemptible_on(worker_slot worker, double above_share) const
{
    std::vector<task_ref> found;
    for (const task_ref& task : state_.workers.at(worker).tasks)
    {
        const job_entry& job = state_.jobs.at(task.job);
        if (!job.queue.preemptible || job.tier() != queue_tier::shared ||
            job.is_gang() || job.running.at(task.index).leaving)
        {
            continue;
        }
        double share =
            state_.teams.dominant_share(job.team, state_.workers.total());
        bool soon = state_.expected_end(task) <= state_.now + ends_soon;
        if (share >= above_share && !soon)
        {
            found.push_back(task);
        }
    }
    auto amount = [this](const task_ref& task)
    { return state_.jobs.at(task.job).running.at(task.index).charged; };
    auto smaller = [&amount](const task_ref& left, const task_ref& right)
    { return amount(left).milli_processors < amount(right).milli_processors; };
    std::stable_sort(found.begin(), found.end(), smaller);
    return found;
}

preemptor::victims preemptor::choose(
    worker_slot worker, const resources& size, double above_share) const
{
    victims chosen;
    resources room = state_.workers.at(worker).free();
    for (const task_ref& task : preemptible_on(worker, above_share))
    {
        if (size.fits_in(room))
        {
            break;
        }
        const resources& charged =
            state_.jobs.at(task.job).running.at(task.index).charged;
        // One task that makes the room alone goes in place of smaller ones.
        if (size.fits_in(state_.workers.at(worker).free() + charged))
        {
            chosen = {};
            room = state_.workers.at(worker).free();
        }
        room += charged;
        chosen.cost += charged.milli_processors;
        chosen.tasks.push_back(task);
    }
    if (!size.fits_in(room))
    {
        chosen.tasks.clear();
    }
    return chosen;
}

void preemptor::stop(const std::vector<task_ref>& tasks, decisions& made)
{
    for (const task_ref& task : tasks)
    {
        job_entry& job = state_.jobs.at(task.job);
        running_task& run = job.running.at(task.index);
        run.leaving = true;
        made.preemptions.push_back(
            {{job.request.job, task.index},
             state_.workers.at(run.worker).entry.id});
    }
}

void preemptor::make_room_for(job_slot slot, decisions& made)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    worker_slot best = no_slot;
    victims least;
    std::size_t count = state_.workers.size();
    std::size_t looked = std::min(count, workers_looked_at);
    for (std::size_t step = 0; step < looked; ++step)
    {
        next_worker_ = static_cast<worker_slot>((next_worker_ + 1) % count);
        const pool_worker& worker = state_.workers.at(next_worker_);
        if (!worker.is_open() || worker.use != worker_use::common ||
            !size.fits_in(worker.entry.capacity) ||
            is_claimed_worker(next_worker_))
        {
            continue;
        }
        victims here = choose(next_worker_, size, no_share);
        if (!here.tasks.empty() && (best == no_slot || here.cost < least.cost))
        {
            best = next_worker_;
            least = here;
        }
    }
    if (best == no_slot)
    {
        return;
    }
    stop(least.tasks, made);
    claims_.push_back({best, size, slot, job.order, state_.now + claim_lasts});
    state_.workers.keep(best, size);
}

void preemptor::make_room_for_urgent(decisions& made)
{
    if (!state_.settings.preempt || state_.now < next_plan_)
    {
        return;
    }
    std::size_t searches = 0;
    auto tier = static_cast<std::size_t>(queue_tier::urgent);
    for (const auto& [share, team] : state_.orders[tier].order())
    {
        const waiting_jobs& queue = state_.waiting[tier][team];
        for (const auto& [index, jobs] : queue.all_classes())
        {
            if (claims_.size() >= claims_at_once ||
                searches >= searches_at_once)
            {
                return;
            }
            job_slot slot = std::get<job_slot>(*jobs.begin());
            const job_entry& job = state_.jobs.at(slot);
            bool patient = state_.now - job.request.queued_at < urgent_patience;
            bool allowed = state_.need_of(job).fits_in(state_.teams.left(team));
            if (!patient && allowed && !is_claimed(slot))
            {
                next_plan_ = state_.now + search_every;
                ++searches;
                make_room_for(slot, made);
            }
        }
    }
}

void preemptor::make_room_for_reserved(decisions& made)
{
    if (!state_.settings.preempt)
    {
        return;
    }
    for (reservation& one : reserved_.all())
    {
        const job_entry& job = state_.jobs.at(one.job);
        milliseconds waited = state_.now - job.request.queued_at;
        if (one.preempted || waited < state_.settings.gang_preempts_after)
        {
            continue;
        }
        one.preempted = true;
        double share =
            state_.teams.dominant_share(job.team, state_.workers.total());
        for (const kept_room& room : one.rooms)
        {
            resources size = one.size * room.tasks;
            stop(choose(room.worker, size, share).tasks, made);
        }
    }
}

} // namespace acaciastile::impl
