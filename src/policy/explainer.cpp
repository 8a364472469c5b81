#include "policy/explainer.hpp"

#include <string>

namespace acaciastile::impl
{

namespace
{

std::size_t count_before(const job_queue& queue, const queue_key& key)
{
    auto at = queue.lower_bound(key);
    return static_cast<std::size_t>(std::distance(queue.begin(), at));
}

explanation make_explanation(std::string reason, std::string sentence)
{
    return {std::move(reason), std::move(sentence), 0, 0, 0};
}

} // namespace

result<void> explainer::check_feasible(const job_request& request) const
{
    auto count = static_cast<std::int64_t>(request.waiting.size());
    bool gang = request.kind == job_kind::gang;
    std::int64_t needed = gang ? count : 1;
    if (state_.workers.tasks_when_empty(request.each, needed) < needed)
    {
        std::string what = gang ? "all its tasks at once" : "one task of it";
        return refuse(
            refusal_code::can_never_run,
            "the workers here, when empty, could not hold " + what);
    }
    const team_rule* team = state_.in_force.find(request.team);
    if (team != nullptr && !(request.each * needed).fits_in(team->upper_limit))
    {
        return refuse(
            refusal_code::can_never_run,
            "the upper limit of team '" + request.team.str() +
                "' is below what it needs at once");
    }
    return {};
}

std::size_t explainer::place_in_queue(job_slot slot) const
{
    const job_entry& job = state_.jobs.at(slot);
    const waiting_jobs* queue = state_.waiting_of(job.tier(), job.team);
    if (queue == nullptr || !job.queued)
    {
        return 0;
    }
    queue_key key = state_.jobs.key_of(slot);
    std::size_t before = count_before(queue->gangs(), key);
    for (const auto& [index, jobs] : queue->all_classes())
    {
        before += count_before(jobs, key);
    }
    return before + 1;
}

explanation explainer::explain_no_placement(job_slot slot) const
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    if (state_.workers.count_open_capable(size) == 0)
    {
        return make_explanation(
            "closed",
            "every worker that could hold it is closed or quarantined");
    }
    if (reserved_.has(slot))
    {
        return make_explanation(
            "reserved", "room is being kept for it until it fits");
    }
    if (state_.workers.count_available(size) == 0)
    {
        return make_explanation(
            "room", "no open worker has room for one task of it now");
    }
    if (job.is_gang())
    {
        return make_explanation(
            "gang", "there is no room for all its tasks at once");
    }
    return make_explanation(
        "order", "other work goes first; there is room for a task");
}

explanation explainer::explain_wait(job_slot slot) const
{
    const job_entry& job = state_.jobs.at(slot);
    resources size = state_.charge_of(job);
    job_request whole = job.request;
    whole.waiting.assign(job.waiting.begin(), job.waiting.end());
    explanation why;
    if (auto possible = check_feasible(whole); !possible)
    {
        why = make_explanation("can_never_run", possible.error().message);
    }
    else if (!state_.allowance_needed(job).fits_in(
                 state_.teams.remaining_allowance(job.team)))
    {
        why = make_explanation(
            "limit",
            "team '" + job.request.team.str() +
                "' has too little of its allowance left here");
    }
    else
    {
        why = explain_no_placement(slot);
    }
    why.place_in_queue = place_in_queue(slot);
    why.workers_that_fit = state_.workers.count_available(size);
    why.workers_that_could = state_.workers.count_capable(size);
    return why;
}

result<explanation> explainer::explain(const job_id& job) const
{
    job_slot slot = state_.jobs.find(job);
    if (slot == no_slot || state_.withdrawn.contains(job))
    {
        return refuse(
            refusal_code::unknown_job,
            "job '" + job.str() + "' neither waits nor runs here");
    }
    if (state_.jobs.at(slot).waiting.empty())
    {
        return make_explanation("running", "all its tasks have a place");
    }
    return explain_wait(slot);
}

} // namespace acaciastile::impl
