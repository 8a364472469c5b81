#include "policy/reservations.hpp"

#include <algorithm>
#include <tuple>

namespace acaciastile::impl
{

namespace
{

/// Interval between planning rounds.
constexpr milliseconds plan_interval{500};
/// Waiting time after which capacity is reserved for a gang, or for one task of
/// any other job.
constexpr milliseconds gang_reserve_after{2'000};
constexpr milliseconds task_reserve_after{60'000};
/// Time past `ready_at` after which an unused reservation is dropped.
constexpr milliseconds expiry_grace{60'000};
/// Gangs at the head of each team's queue considered in a planning round.
constexpr std::size_t max_gangs_per_team = 4;
/// Jobs for which a planning round tries to reserve capacity.
constexpr std::size_t max_candidates = 4;
/// All reservations together may use at most 1/n of the workers, except that
/// one made while no other is active may use more.
constexpr std::size_t max_reserved_divisor = 4;
/// Usable workers examined in one search for capacity.
constexpr std::size_t max_workers_examined = 1'024;

} // namespace

bool reservations::candidate::operator<(const candidate& other) const
{
    if (starving != other.starving)
    {
        return starving;
    }
    if (!starving && share != other.share)
    {
        return share < other.share;
    }
    return key < other.key;
}

bool reservations::has(job_slot job) const
{
    auto of_job = [job](const reservation& one) { return one.job == job; };
    return std::any_of(active_.begin(), active_.end(), of_job);
}

bool reservations::is_reserved_by_starving_job(worker_slot worker) const
{
    auto on = [worker](const reserved_worker& reserved)
    { return reserved.worker == worker; };
    auto is_starving_and_uses_worker = [&on](const reservation& one)
    {
        return one.starving &&
               std::any_of(one.workers.begin(), one.workers.end(), on);
    };
    return std::any_of(
        active_.begin(), active_.end(), is_starving_and_uses_worker);
}

void reservations::hold(const reservation& one)
{
    for (const reserved_worker& reserved : one.workers)
    {
        state_.workers.adjust_reserved(
            reserved.worker, one.size * reserved.tasks);
    }
}

void reservations::release(const reservation& one)
{
    for (const reserved_worker& reserved : one.workers)
    {
        state_.workers.adjust_reserved(
            reserved.worker, one.size * -reserved.tasks);
    }
}

void reservations::drop(std::size_t at)
{
    release(active_[at]);
    for (const reserved_worker& reserved : active_[at].workers)
    {
        state_.on_capacity_freed(reserved.worker);
    }
    active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(at));
}

bool reservations::is_valid(const reservation& one) const
{
    const job_entry& job = state_.jobs.at(one.job);
    if (job.order != one.order || job.waiting.empty() ||
        state_.now > one.ready_at + expiry_grace)
    {
        return false;
    }
    auto waiting = static_cast<std::int64_t>(job.waiting.size());
    if (job.is_gang() && waiting != one.tasks)
    {
        return false;
    }
    if (!state_.allowance_needed(job).fits_in(
            state_.teams.remaining_allowance(job.team)))
    {
        return false;
    }
    auto usable = [this](const reserved_worker& reserved)
    {
        const pool_worker& worker = state_.workers.at(reserved.worker);
        return worker.is_open() && worker.use == worker_use::general;
    };
    return std::all_of(one.workers.begin(), one.workers.end(), usable);
}

void reservations::refresh()
{
    for (std::size_t at = active_.size(); at-- > 0;)
    {
        if (!is_valid(active_[at]))
        {
            drop(at);
        }
    }
}

void reservations::add_candidate(
    job_slot slot, double share, std::vector<candidate>& found) const
{
    const job_entry& job = state_.jobs.at(slot);
    milliseconds waited = state_.now - job.request.queued_at;
    milliseconds reserve_after =
        job.is_gang() ? gang_reserve_after : task_reserve_after;
    if (waited < reserve_after || has(slot) ||
        !state_.allowance_needed(job).fits_in(
            state_.teams.remaining_allowance(job.team)))
    {
        return;
    }
    bool starving = waited >= state_.settings.starvation_threshold;
    found.push_back({starving, share, state_.jobs.key_of(slot)});
}

void reservations::add_candidates(
    team_slot team, double share, std::vector<candidate>& found) const
{
    const waiting_jobs& queue = *state_.waiting_of(queue_tier::shared, team);
    std::size_t examined = 0;
    for (const queue_key& key : queue.gangs())
    {
        if (++examined > max_gangs_per_team)
        {
            break;
        }
        add_candidate(std::get<job_slot>(key), share, found);
    }
    for (const auto& [index, jobs] : queue.all_classes())
    {
        add_candidate(std::get<job_slot>(*jobs.begin()), share, found);
    }
}

std::vector<reservations::candidate> reservations::candidates() const
{
    std::vector<candidate> found;
    auto tier = static_cast<std::size_t>(queue_tier::shared);
    for (const auto& [share, team] : state_.team_orders[tier].order())
    {
        add_candidates(team, share, found);
    }
    return found;
}

void reservations::plan()
{
    bool plain_below_limit = active_count(false) < state_.settings.reservations;
    bool accelerated_below_limit =
        active_count(true) < state_.settings.reservations;
    if (!state_.settings.reserve || state_.now < next_plan_ ||
        (!plain_below_limit && !accelerated_below_limit))
    {
        return;
    }
    next_plan_ = state_.now + plan_interval;
    std::vector<candidate> found = candidates();
    std::size_t first = std::min(found.size(), max_candidates);
    std::partial_sort(
        found.begin(),
        found.begin() + static_cast<std::ptrdiff_t>(first),
        found.end());
    for (std::size_t at = 0; at < first; ++at)
    {
        job_slot slot = std::get<job_slot>(found[at].key);
        bool needs_accelerators =
            state_.jobs.at(slot).request.each.accelerators > 0;
        if (active_count(needs_accelerators) < state_.settings.reservations)
        {
            reserve(found[at]);
        }
    }
}

std::size_t reservations::active_count(bool accelerated) const
{
    auto of_kind = [accelerated](const reservation& one)
    { return (one.size.accelerators > 0) == accelerated; };
    auto count = std::count_if(active_.begin(), active_.end(), of_kind);
    return static_cast<std::size_t>(count);
}

void reservations::add_availability(
    worker_slot worker,
    const resources& size,
    std::int64_t tasks,
    std::vector<availability>& times) const
{
    const pool_worker& worker_info = state_.workers.at(worker);
    resources capacity = worker_info.available();
    std::int64_t found = tasks_that_fit(size, capacity, tasks);
    times.insert(
        times.end(), static_cast<std::size_t>(found), {state_.now, worker});
    std::vector<std::pair<instant, resources>> ends;
    for (const task_ref& task : worker_info.tasks)
    {
        instant end = state_.expected_end(task);
        if (end != instant::max())
        {
            const job_entry& job = state_.jobs.at(task.job);
            ends.emplace_back(end, job.running.at(task.index).charged);
        }
    }
    auto sooner = [](const auto& left, const auto& right)
    { return left.first < right.first; };
    std::stable_sort(ends.begin(), ends.end(), sooner);
    for (const auto& [end, freed] : ends)
    {
        capacity += freed;
        std::int64_t fitting = tasks_that_fit(size, capacity, tasks);
        for (; found < fitting; ++found)
        {
            times.push_back({end, worker});
        }
    }
}

std::vector<reservations::availability> reservations::availability_of_fleet(
    const resources& size, std::int64_t tasks, bool accelerated)
{
    std::vector<availability> times;
    std::size_t count = state_.workers.size();
    std::size_t examined = 0;
    for (std::size_t step = 0; step < count && examined < max_workers_examined;
         ++step)
    {
        next_worker_ = static_cast<worker_slot>((next_worker_ + 1) % count);
        const pool_worker& worker = state_.workers.at(next_worker_);
        bool usable = worker.is_open() && worker.use == worker_use::general &&
                      size.fits_in(worker.entry.capacity);
        bool accelerated_worker = worker.entry.capacity.accelerators > 0;
        if (usable && accelerated_worker == accelerated)
        {
            add_availability(next_worker_, size, tasks, times);
            ++examined;
        }
    }
    return times;
}

std::size_t reservations::reserved_worker_count() const
{
    std::size_t count = 0;
    for (const reservation& one : active_)
    {
        count += one.workers.size();
    }
    return count;
}

void reservations::choose_workers(
    std::vector<availability>& times, reservation& planned)
{
    auto sooner = [](const availability& left, const availability& right) {
        return std::tie(left.at, left.worker) <
               std::tie(right.at, right.worker);
    };
    std::sort(times.begin(), times.end(), sooner);
    auto needed = static_cast<std::size_t>(planned.tasks);
    planned.ready_at = times[needed - 1].at;
    // Takes the workers that fit the most tasks first, to reserve few workers.
    absl::btree_map<worker_slot, std::int64_t> by_worker;
    for (const availability& time : times)
    {
        if (time.at <= planned.ready_at)
        {
            ++by_worker[time.worker];
        }
    }
    std::vector<reserved_worker> by_tasks;
    for (const auto& [worker, tasks] : by_worker)
    {
        by_tasks.push_back({worker, tasks});
    }
    auto more_tasks =
        [](const reserved_worker& left, const reserved_worker& right)
    { return left.tasks > right.tasks; };
    std::stable_sort(by_tasks.begin(), by_tasks.end(), more_tasks);
    std::int64_t left = planned.tasks;
    for (reserved_worker& reserved : by_tasks)
    {
        if (left == 0)
        {
            break;
        }
        reserved.tasks = std::min(reserved.tasks, left);
        left -= reserved.tasks;
        planned.workers.push_back(reserved);
    }
}

void reservations::reserve(const candidate& chosen)
{
    job_slot slot = std::get<job_slot>(chosen.key);
    const job_entry& job = state_.jobs.at(slot);
    reservation planned;
    planned.job = slot;
    planned.order = job.order;
    planned.size = state_.charge_of(job);
    planned.tasks =
        job.is_gang() ? static_cast<std::int64_t>(job.waiting.size()) : 1;
    planned.created_at = state_.now;
    planned.starving = chosen.starving;
    auto needed = static_cast<std::size_t>(planned.tasks);
    bool accelerated = planned.size.accelerators > 0;
    std::vector<availability> times =
        availability_of_fleet(planned.size, planned.tasks, accelerated);
    if (times.size() < needed && !accelerated)
    {
        auto more = availability_of_fleet(planned.size, planned.tasks, true);
        times.insert(times.end(), more.begin(), more.end());
    }
    if (times.size() < needed)
    {
        return;
    }
    choose_workers(times, planned);
    bool alone = active_.empty();
    if (!alone && (reserved_worker_count() + planned.workers.size()) *
                          max_reserved_divisor >
                      state_.workers.size())
    {
        return;
    }
    hold(planned);
    active_.push_back(std::move(planned));
}

} // namespace acaciastile::impl
