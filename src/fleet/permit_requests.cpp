#include "fleet/permit_requests.hpp"

#include <absl/hash/hash.h>
#include <algorithm>
#include <cmath>

namespace acaciastile::fleet
{

namespace
{

/// Upper bound on queue priorities; keeps urgency classes apart when both are
/// combined into a request's priority.
constexpr std::uint32_t priority_levels = 1'000;

/// Workers whose room others count on that one search passes over at most.
constexpr std::size_t max_passed_over = 64;

/// Spreads the searches of different steps over similar workers.
std::size_t rotation_of(const step_id& step)
{
    return absl::HashOf(step.job.str(), step.step);
}

milliseconds answer_time(const policy_timing& timing, std::size_t workers)
{
    return std::chrono::ceil<milliseconds>(
        timing.base + timing.per_worker * static_cast<double>(workers));
}

/// Priority among the requests of all steps. What is out of time has one, as
/// its accounts take turns.
std::uint32_t priority_of(const waiting_step& step)
{
    if (is_out_of_time(step.urgency))
    {
        return static_cast<std::uint32_t>(urgency_class::excess) *
               priority_levels;
    }
    return static_cast<std::uint32_t>(step.urgency) * priority_levels +
           std::min(step.queue->priority, priority_levels - 1);
}

std::int64_t part_of(std::int64_t amount, double part)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * part);
}

} // namespace

bool permit_requests::may_ask(
    const waiting_step& step,
    instant now,
    const permit_request_budget& budget) const
{
    const step_permits& permits = step.step->permits;
    if (permits.request_in_flight || now < permits.retry_not_before)
    {
        return false;
    }
    const policy_timing& timing = *step.queue->advice;
    const bool may_be_short =
        answer_time(timing, 1) <= budget.longest_short_request;
    const bool may_be_long =
        answer_time(timing, settings_.max_workers_per_request) >
        budget.longest_short_request;
    return (may_be_long && budget.long_requests > 0) ||
           (may_be_short && budget.short_requests + budget.first_requests > 0);
}

resources permit_requests::ending_use(
    const waiting_step& step, const resources& use, milliseconds run_time) const
{
    const policy_timing& timing = *step.queue->advice;
    const std::chrono::duration<double, std::milli> until_used =
        answer_time(timing, 1) + settings_.cap_wait_share * timing.valid;
    const double part = std::min(
        1.0, until_used / std::max<milliseconds>(run_time, milliseconds{1}));
    return {
        part_of(use.milli_processors, part),
        part_of(use.memory_mib, part),
        part_of(use.accelerators, part)};
}

bool permit_requests::ask(
    planning_view& view,
    waiting_step& step,
    std::uint32_t tasks,
    std::uint32_t turn)
{
    if (view.budget.is_spent(turn) || !may_ask(step, view.now, view.budget))
    {
        return false;
    }
    const named_workers named = step.spec->gang
                                    ? gang_workers(view, step)
                                    : task_workers(view, step, tasks);
    if (named.empty())
    {
        return false;
    }
    const milliseconds expected =
        answer_time(*step.queue->advice, named.size());
    permit_request_budget& budget = view.budget;
    std::size_t& left =
        expected > budget.longest_short_request   ? budget.long_requests
        : budget.short_requests == 0 && turn == 0 ? budget.first_requests
                                                  : budget.short_requests;
    if (left == 0)
    {
        return false; // A later pass sends the request if it is still needed.
    }
    --left;
    step_permits& permits = step.step->permits;
    permits.request_in_flight = true;
    permits.requested_tasks = tasks;
    permits.requested_workers.clear();
    permit_request& request = view.decided.emplace_back();
    request.step = step.step->id;
    for (const worker_entry* worker : named)
    {
        request.workers.push_back(worker->registration.id);
        permits.requested_workers.push_back(worker->handle);
    }
    view.claims.add(permits.requested_workers, step.needs, tasks);
    request.priority = priority_of(step);
    request.expected = expected;
    request.turn = turn;
    return true;
}

permit_requests::named_workers permit_requests::task_workers(
    planning_view& view, waiting_step& step, std::uint32_t tasks)
{
    const step_permits& permits = step.step->permits;
    const double share = allowed_share_of(step.queue->name);
    named_workers named;
    double expected_permits = 0;
    const double wanted_permits = tasks;
    const auto is_enough = [&]
    {
        return expected_permits >= wanted_permits ||
               named.size() >= settings_.max_workers_per_request;
    };
    // Workers whose room others count on, or that were full before.
    named_workers contested;
    // Expired permits are likely to be renewed.
    for (const step_permits::grant& grant : permits.allowed)
    {
        ++view.examined;
        const worker_entry* worker = view.workers.at(grant.worker);
        if (!is_enough() && worker != nullptr &&
            !permits.denied.contains(grant.worker) &&
            step.needs.fits_in(worker->free_resources()) &&
            view.may_run(step, *worker))
        {
            if (grant.was_full || !view.claims.has_room(*worker, step.needs))
            {
                contested.push_back(worker);
                continue;
            }
            named.push_back(worker);
            expected_permits += 1.0;
        }
    }
    const impl::fit_index* free =
        view.workers.free_capacity(step.queue->service);
    if (!is_enough() && free != nullptr)
    {
        const double permits_each = share * settings_.expected_permit_factor;
        const auto wanted = static_cast<std::size_t>(std::ceil(std::min(
            (wanted_permits - expected_permits) / permits_each,
            static_cast<double>(
                settings_.max_workers_per_request - named.size()))));
        named_workers fitting;
        named_workers& found = view.compares_speeds ? fitting : named;
        const std::size_t most = found.size() + wanted * view.choice_factor;
        std::size_t passed_over = 0;
        free->visit(
            step.needs,
            [&](const impl::fit_index::candidate& each)
            {
                ++view.examined;
                const worker_entry* worker = view.workers.at(each.worker);
                if (worker == nullptr)
                {
                    return true;
                }
                const bool is_free = view.claims.has_room(*worker, step.needs);
                passed_over += is_free ? 0 : 1;
                named_workers& to = is_free ? found : contested;
                if (to.size() < most && !permits.denied.contains(each.worker) &&
                    permits.find(each.worker) == nullptr &&
                    view.may_run(step, *worker))
                {
                    to.push_back(worker);
                }
                return found.size() < most && passed_over < max_passed_over;
            },
            rotation_of(step.step->id));
        view.sort_by_speed(step, fitting);
        fitting.resize(std::min(fitting.size(), wanted));
        named.insert(named.end(), fitting.begin(), fitting.end());
        expected_permits = permits_each * static_cast<double>(named.size());
    }
    for (const worker_entry* worker : contested)
    {
        if (is_enough())
        {
            break;
        }
        named.push_back(worker);
        expected_permits += share * settings_.expected_permit_factor;
    }
    if (expected_permits < wanted_permits &&
        step.urgency == urgency_class::in_time && permits.allowed.empty() &&
        permits.denied.empty())
    {
        add_busy_workers(view, step, named);
    }
    return named;
}

void permit_requests::add_busy_workers(
    planning_view& view, const waiting_step& step, named_workers& named) const
{
    const policy_timing& timing = *step.queue->advice;
    const double workers_in_time_limit =
        timing.per_worker.count() <= 0
            ? static_cast<double>(settings_.max_workers_per_request)
            : settings_.busy_workers_time_share *
                  (timing.base / timing.per_worker);
    const auto max_workers = std::min(
        settings_.max_workers_per_request,
        static_cast<std::size_t>(std::max(0.0, workers_in_time_limit)));
    const std::vector<worker_entry*>& all = view.workers.all();
    const std::size_t first = rotation_of(step.step->id);
    for (std::size_t n = 0; n < all.size() && named.size() < max_workers; ++n)
    {
        ++view.examined;
        const worker_entry* worker = all[(first + n) % all.size()];
        if (!step.needs.fits_in(worker->free_resources()) &&
            step.needs.fits_in(worker->registration.capacity) &&
            view.may_run(step, *worker))
        {
            named.push_back(worker);
        }
    }
}

permit_requests::named_workers
permit_requests::gang_workers(planning_view& view, const waiting_step& step)
{
    const auto places = view.gang_places.find(step.step);
    if (places == view.gang_places.end())
    {
        return gang_candidates(view, step);
    }
    named_workers named;
    for (const worker_entry* worker : places->second)
    {
        if (named.empty() || named.back() != worker)
        {
            named.push_back(worker);
        }
    }
    const std::size_t most = std::min(
        settings_.max_workers_per_request,
        named.size() + 1 + named.size() / settings_.spare_worker_divisor);
    for (const step_permits::grant& grant : step.step->permits.allowed)
    {
        const worker_entry* worker = view.workers.at(grant.worker);
        if (named.size() < most && worker != nullptr &&
            step.needs.fits_in(worker->free_resources()) &&
            view.may_run(step, *worker) &&
            std::find(named.begin(), named.end(), worker) == named.end())
        {
            named.push_back(worker);
        }
    }
    return named;
}

permit_requests::named_workers
permit_requests::gang_candidates(planning_view& view, const waiting_step& step)
{
    struct undecided_worker
    {
        const worker_entry* worker;
        std::int64_t members_now;     ///< Members that fit now.
        std::int64_t members_if_idle; ///< Members that fit on the idle worker.
    };
    const step_permits& permits = step.step->permits;
    std::vector<undecided_worker> undecided;
    const std::vector<worker_entry*>& all = view.workers.all();
    const std::size_t first = rotation_of(step.step->id);
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        ++view.examined;
        const worker_entry* worker = all[(first + n) % all.size()];
        const std::int64_t members_if_idle = members_that_fit(
            worker->registration.capacity, *step.spec, step.needs);
        if (members_if_idle > 0 && !permits.denied.contains(worker->handle) &&
            permits.find(worker->handle) == nullptr &&
            view.may_run(step, *worker))
        {
            undecided.push_back(
                {worker,
                 members_that_fit(
                     worker->free_resources(), *step.spec, step.needs),
                 members_if_idle});
        }
    }
    std::stable_sort(
        undecided.begin(),
        undecided.end(),
        [](const undecided_worker& left, const undecided_worker& right)
        {
            return std::pair(left.members_now, left.members_if_idle) >
                   std::pair(right.members_now, right.members_if_idle);
        });
    const double share = allowed_share_of(step.queue->name);
    const double wanted_members = settings_.gang_candidate_factor *
                                  static_cast<double>(step.step->tasks.size());
    double expected_members = 0;
    named_workers named;
    for (const undecided_worker& each : undecided)
    {
        if (named.size() >= settings_.max_workers_per_request ||
            expected_members >= wanted_members)
        {
            break;
        }
        named.push_back(each.worker);
        expected_members += share * static_cast<double>(each.members_now);
    }
    return named;
}

double& permit_requests::allowed_share_of(const queue_name& queue)
{
    return allowed_share_.try_emplace(queue, settings_.initial_allowed_share)
        .first->second;
}

void permit_requests::note_answer(
    job_tracker& jobs,
    const worker_table& workers,
    const step_id& step,
    const std::vector<worker_id>& asked,
    const permits& answer,
    instant usable_until)
{
    step_entry* step_state = jobs.find(step);
    if (step_state == nullptr)
    {
        return;
    }
    step_permits& known = step_state->permits;
    known.request_in_flight = false;
    known.is_unused = !answer.allowed.empty();
    std::size_t newly_answered = 0;
    for (const worker_id& id : asked)
    {
        if (const worker_entry* worker = workers.find(id))
        {
            newly_answered += known.find(worker->handle) == nullptr ? 1 : 0;
            known.denied.insert(worker->handle);
        }
    }
    std::size_t newly_allowed = 0;
    for (const permits::permit& permit : answer.allowed)
    {
        if (const worker_entry* worker = workers.find(permit.worker))
        {
            known.denied.erase(worker->handle);
            newly_allowed += known.allow(
                                 {worker->handle,
                                  permit.ticket,
                                  usable_until,
                                  worker->registration.incarnation})
                                 ? 1
                                 : 0;
        }
    }
    if (newly_answered > 0)
    {
        double& share = allowed_share_of(jobs.find(step.job)->job.queue);
        const double allowed_now = static_cast<double>(newly_allowed) /
                                   static_cast<double>(newly_answered);
        share += settings_.allowed_share_smoothing * (allowed_now - share);
    }
}

void permit_requests::note_no_answer(
    job_tracker& jobs, const step_id& step, instant retry_not_before)
{
    if (step_entry* entry = jobs.find(step))
    {
        entry->permits.request_in_flight = false;
        entry->permits.retry_not_before = retry_not_before;
    }
}

} // namespace acaciastile::fleet
