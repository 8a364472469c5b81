#include "policy/preemptor.hpp"

#include <algorithm>
#include <tuple>

namespace acaciastile::impl
{

namespace
{

constexpr milliseconds urgent_preempt_after{300};
constexpr milliseconds claim_timeout{15'000};
/// A task expected to end within this time is not preempted.
constexpr milliseconds ending_soon_threshold{30'000};
constexpr std::size_t max_claims = 16;
/// Victim searches per call, and the minimum interval between such calls.
constexpr std::size_t max_searches_per_call = 4;
constexpr milliseconds search_interval{50};
constexpr std::size_t max_workers_examined = 256;
/// Headroom takes at most this fraction (1/n) of a worker.
constexpr std::int64_t headroom_divisor = 8;
constexpr double any_share = -1.0;

} // namespace

bool preemptor::is_job_claimed(job_slot job) const
{
    auto of_job = [job](const urgent_claim& one) { return one.job == job; };
    return std::any_of(claims_.begin(), claims_.end(), of_job);
}

bool preemptor::is_worker_claimed(worker_slot worker) const
{
    auto on = [worker](const urgent_claim& one)
    { return one.worker == worker; };
    return std::any_of(claims_.begin(), claims_.end(), on);
}

void preemptor::drop_claim(std::size_t at)
{
    urgent_claim one = claims_[at];
    claims_.erase(claims_.begin() + static_cast<std::ptrdiff_t>(at));
    state_.workers.adjust_reserved(one.worker, one.size * -1);
    state_.on_capacity_freed(one.worker);
}

void preemptor::refresh()
{
    for (std::size_t at = claims_.size(); at-- > 0;)
    {
        const urgent_claim& one = claims_[at];
        const pool_worker& worker = state_.workers.at(one.worker);
        bool usable = worker.is_open() && worker.use == worker_use::general;
        const job_entry& job = state_.jobs.at(one.job);
        bool wanted = job.order == one.order && !job.waiting.empty() &&
                      state_.now <= one.until;
        if (!usable || !wanted)
        {
            drop_claim(at);
        }
    }
    update_headroom();
}

void preemptor::update_headroom()
{
    std::size_t stride = state_.settings.headroom_worker_stride;
    std::size_t count = state_.workers.size();
    if (stride == 0 || (state_.largest_urgent == headroom_size_ &&
                        count == headroom_worker_count_))
    {
        return;
    }
    headroom_size_ = state_.largest_urgent;
    headroom_worker_count_ = count;
    for (const auto& [worker, size] : headroom_reservations_)
    {
        state_.workers.adjust_reserved(worker, size * -1);
        state_.on_capacity_freed(worker);
    }
    headroom_reservations_.clear();
    for (std::size_t at = stride - 1; at < count; at += stride)
    {
        auto slot = static_cast<worker_slot>(at);
        const resources& capacity = state_.workers.at(slot).entry.capacity;
        // Needs other workers of this size for tasks that fill a whole worker.
        if (state_.workers.count_of_capacity(capacity) < stride)
        {
            continue;
        }
        resources upper{
            capacity.milli_processors / headroom_divisor,
            capacity.memory_mib / headroom_divisor,
            0};
        resources size = min(headroom_size_, upper);
        headroom_reservations_.emplace_back(slot, size);
        state_.workers.adjust_reserved(slot, size);
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
            job.is_gang() || job.running.at(task.index).checkpoint_requested)
        {
            continue;
        }
        double share =
            state_.teams.dominant_share(job.team, state_.workers.total());
        bool ending_soon =
            state_.expected_end(task) <= state_.now + ending_soon_threshold;
        if (share >= above_share && !ending_soon)
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

preemptor::victims preemptor::choose_victims(
    worker_slot worker, const resources& size, double above_share) const
{
    victims chosen;
    resources capacity = state_.workers.at(worker).free();
    for (const task_ref& task : preemptible_on(worker, above_share))
    {
        if (size.fits_in(capacity))
        {
            break;
        }
        const resources& charged =
            state_.jobs.at(task.job).running.at(task.index).charged;
        // Prefers one task that frees enough capacity over several smaller
        // ones.
        if (size.fits_in(state_.workers.at(worker).free() + charged))
        {
            chosen = {};
            capacity = state_.workers.at(worker).free();
        }
        capacity += charged;
        chosen.cost += charged.milli_processors;
        chosen.tasks.push_back(task);
    }
    if (!size.fits_in(capacity))
    {
        chosen.tasks.clear();
    }
    return chosen;
}

void preemptor::request_checkpoints(
    const std::vector<task_ref>& tasks, decisions& decided)
{
    for (const task_ref& task : tasks)
    {
        job_entry& job = state_.jobs.at(task.job);
        running_task& run = job.running.at(task.index);
        run.checkpoint_requested = true;
        decided.preemptions.push_back(
            {{job.request.job, task.index},
             state_.workers.at(run.worker).entry.id});
    }
}

void preemptor::preempt_for(job_slot slot, decisions& decided)
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    worker_slot best = no_slot;
    victims least;
    std::size_t count = state_.workers.size();
    std::size_t examined = std::min(count, max_workers_examined);
    for (std::size_t step = 0; step < examined; ++step)
    {
        next_worker_ = static_cast<worker_slot>((next_worker_ + 1) % count);
        const pool_worker& worker = state_.workers.at(next_worker_);
        if (!worker.is_open() || worker.use != worker_use::general ||
            !size.fits_in(worker.entry.capacity) ||
            is_worker_claimed(next_worker_))
        {
            continue;
        }
        victims here = choose_victims(next_worker_, size, any_share);
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
    request_checkpoints(least.tasks, decided);
    claims_.push_back(
        {best, size, slot, job.order, state_.now + claim_timeout});
    state_.workers.adjust_reserved(best, size);
}

void preemptor::preempt_for_urgent(decisions& decided)
{
    if (!state_.settings.preempt || state_.now < next_search_)
    {
        return;
    }
    std::size_t searches = 0;
    auto tier = static_cast<std::size_t>(queue_tier::urgent);
    for (const auto& [share, team] : state_.team_orders[tier].order())
    {
        const waiting_jobs& queue = state_.waiting[tier][team];
        for (const auto& [index, jobs] : queue.all_classes())
        {
            if (claims_.size() >= max_claims ||
                searches >= max_searches_per_call)
            {
                return;
            }
            job_slot slot = std::get<job_slot>(*jobs.begin());
            const job_entry& job = state_.jobs.at(slot);
            bool too_recent =
                state_.now - job.request.queued_at < urgent_preempt_after;
            bool within_allowance = state_.allowance_needed(job).fits_in(
                state_.teams.remaining_allowance(team));
            if (!too_recent && within_allowance && !is_job_claimed(slot))
            {
                next_search_ = state_.now + search_interval;
                ++searches;
                preempt_for(slot, decided);
            }
        }
    }
}

void preemptor::preempt_for_reservations(decisions& decided)
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
        for (const reserved_worker& reserved : one.workers)
        {
            resources size = one.size * reserved.tasks;
            request_checkpoints(
                choose_victims(reserved.worker, size, share).tasks, decided);
        }
    }
}

} // namespace acaciastile::impl
