#include "policy/reservations.hpp"

#include <algorithm>
#include <tuple>

namespace acaciastile::impl
{

namespace
{

constexpr milliseconds plan_every{500};
constexpr milliseconds gang_patience{2'000};
constexpr milliseconds task_patience{60'000};
constexpr milliseconds overdue_by{60'000};
constexpr std::size_t gangs_looked_at = 4;
constexpr std::size_t candidates_tried = 4;
/// Reservations together keep room on at most this part of the workers, but
/// for a single one, which may need more.
constexpr std::size_t kept_divisor = 4;
/// Workers compared for one reservation.
constexpr std::size_t workers_looked_at = 1'024;

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
    return std::any_of(made_.begin(), made_.end(), of_job);
}

bool reservations::is_starving(worker_slot worker) const
{
    auto on = [worker](const kept_room& room) { return room.worker == worker; };
    auto starving_on = [&on](const reservation& one) {
        return one.starving &&
               std::any_of(one.rooms.begin(), one.rooms.end(), on);
    };
    return std::any_of(made_.begin(), made_.end(), starving_on);
}

void reservations::keep(const reservation& one)
{
    for (const kept_room& room : one.rooms)
    {
        state_.workers.keep(room.worker, one.size * room.tasks);
    }
}

void reservations::open(const reservation& one)
{
    for (const kept_room& room : one.rooms)
    {
        state_.workers.keep(room.worker, one.size * -room.tasks);
    }
}

void reservations::drop(std::size_t at)
{
    open(made_[at]);
    for (const kept_room& room : made_[at].rooms)
    {
        state_.gained_room(room.worker);
    }
    made_.erase(made_.begin() + static_cast<std::ptrdiff_t>(at));
}

bool reservations::still_holds(const reservation& one) const
{
    const job_entry& job = state_.jobs.at(one.job);
    if (job.order != one.order || job.waiting.empty() ||
        state_.now > one.ready_at + overdue_by)
    {
        return false;
    }
    auto waiting = static_cast<std::int64_t>(job.waiting.size());
    if (job.is_gang() && waiting != one.tasks)
    {
        return false;
    }
    if (!state_.need_of(job).fits_in(state_.teams.left(job.team)))
    {
        return false;
    }
    auto usable = [this](const kept_room& room)
    {
        const pool_worker& worker = state_.workers.at(room.worker);
        return worker.is_open() && worker.use == worker_use::common;
    };
    return std::all_of(one.rooms.begin(), one.rooms.end(), usable);
}

void reservations::refresh()
{
    for (std::size_t at = made_.size(); at-- > 0;)
    {
        if (!still_holds(made_[at]))
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
    milliseconds patience = job.is_gang() ? gang_patience : task_patience;
    if (waited < patience || has(slot) ||
        !state_.need_of(job).fits_in(state_.teams.left(job.team)))
    {
        return;
    }
    bool starving = waited >= state_.settings.starving_after;
    found.push_back({starving, share, state_.jobs.key_of(slot)});
}

void reservations::add_candidates(
    team_slot team, double share, std::vector<candidate>& found) const
{
    const waiting_jobs& queue = *state_.waiting_of(queue_tier::shared, team);
    std::size_t looked = 0;
    for (const queue_key& key : queue.gangs())
    {
        if (++looked > gangs_looked_at)
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
    for (const auto& [share, team] : state_.orders[tier].order())
    {
        add_candidates(team, share, found);
    }
    return found;
}

void reservations::plan()
{
    bool plain = count_of(false) < state_.settings.reservations;
    bool accelerated = count_of(true) < state_.settings.reservations;
    if (!state_.settings.reserve || state_.now < next_plan_ ||
        (!plain && !accelerated))
    {
        return;
    }
    next_plan_ = state_.now + plan_every;
    std::vector<candidate> found = candidates();
    std::size_t first = std::min(found.size(), candidates_tried);
    std::partial_sort(
        found.begin(),
        found.begin() + static_cast<std::ptrdiff_t>(first),
        found.end());
    for (std::size_t at = 0; at < first; ++at)
    {
        job_slot slot = std::get<job_slot>(found[at].key);
        bool kind = state_.jobs.at(slot).request.each.accelerators > 0;
        if (count_of(kind) < state_.settings.reservations)
        {
            reserve(found[at]);
        }
    }
}

std::size_t reservations::count_of(bool accelerated) const
{
    auto of_kind = [accelerated](const reservation& one)
    { return (one.size.accelerators > 0) == accelerated; };
    auto count = std::count_if(made_.begin(), made_.end(), of_kind);
    return static_cast<std::size_t>(count);
}

void reservations::add_slot_times(
    worker_slot worker,
    const resources& size,
    std::int64_t tasks,
    std::vector<slot_time>& times) const
{
    const pool_worker& held = state_.workers.at(worker);
    resources room = held.room();
    std::int64_t known = tasks_that_fit(size, room, tasks);
    times.insert(
        times.end(), static_cast<std::size_t>(known), {state_.now, worker});
    std::vector<std::pair<instant, resources>> ends;
    for (const task_ref& task : held.tasks)
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
    for (const auto& [end, size_of_task] : ends)
    {
        room += size_of_task;
        std::int64_t now_fit = tasks_that_fit(size, room, tasks);
        for (; known < now_fit; ++known)
        {
            times.push_back({end, worker});
        }
    }
}

std::vector<reservations::slot_time> reservations::slot_times(
    const resources& size, std::int64_t tasks, bool accelerated)
{
    std::vector<slot_time> times;
    std::size_t count = state_.workers.size();
    std::size_t looked = 0;
    for (std::size_t step = 0; step < count && looked < workers_looked_at;
         ++step)
    {
        next_worker_ = static_cast<worker_slot>((next_worker_ + 1) % count);
        const pool_worker& worker = state_.workers.at(next_worker_);
        bool usable = worker.is_open() && worker.use == worker_use::common &&
                      size.fits_in(worker.entry.capacity);
        bool has = worker.entry.capacity.accelerators > 0;
        if (usable && has == accelerated)
        {
            add_slot_times(next_worker_, size, tasks, times);
            ++looked;
        }
    }
    return times;
}

std::size_t reservations::workers_kept() const
{
    std::size_t count = 0;
    for (const reservation& one : made_)
    {
        count += one.rooms.size();
    }
    return count;
}

void reservations::reserve(const candidate& chosen)
{
    job_slot slot = std::get<job_slot>(chosen.key);
    const job_entry& job = state_.jobs.at(slot);
    reservation made;
    made.job = slot;
    made.order = job.order;
    made.size = state_.charge_of(job);
    made.tasks =
        job.is_gang() ? static_cast<std::int64_t>(job.waiting.size()) : 1;
    made.made_at = state_.now;
    made.starving = chosen.starving;
    auto needed = static_cast<std::size_t>(made.tasks);
    bool accelerated = made.size.accelerators > 0;
    std::vector<slot_time> times =
        slot_times(made.size, made.tasks, accelerated);
    if (times.size() < needed && !accelerated)
    {
        auto more = slot_times(made.size, made.tasks, true);
        times.insert(times.end(), more.begin(), more.end());
    }
    if (times.size() < needed)
    {
        return;
    }
    auto sooner = [](const slot_time& left, const slot_time& right) {
        return std::tie(left.at, left.worker) <
               std::tie(right.at, right.worker);
    };
    std::sort(times.begin(), times.end(), sooner);
    made.ready_at = times[needed - 1].at;
    // The workers with the most room by then, so that few are kept.
    absl::btree_map<worker_slot, std::int64_t> by_worker;
    for (const slot_time& time : times)
    {
        if (time.at <= made.ready_at)
        {
            ++by_worker[time.worker];
        }
    }
    std::vector<kept_room> rooms;
    for (const auto& [worker, tasks] : by_worker)
    {
        rooms.push_back({worker, tasks});
    }
    auto more_room = [](const kept_room& left, const kept_room& right)
    { return left.tasks > right.tasks; };
    std::stable_sort(rooms.begin(), rooms.end(), more_room);
    std::int64_t left = made.tasks;
    for (kept_room& room : rooms)
    {
        if (left == 0)
        {
            break;
        }
        room.tasks = std::min(room.tasks, left);
        left -= room.tasks;
        made.rooms.push_back(room);
    }
    bool alone = made_.empty();
    if (!alone && (workers_kept() + made.rooms.size()) * kept_divisor >
                      state_.workers.size())
    {
        return;
    }
    keep(made);
    made_.push_back(std::move(made));
}

} // namespace acaciastile::impl
