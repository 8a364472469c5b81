#include "golden/promises.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace acaciastile::golden
{

namespace
{

/// What the promises call "within seconds" and "a few seconds".
constexpr milliseconds key_bound{10'000};
constexpr milliseconds leaving_bound{5'000};
/// The letter's bound for configuration.
constexpr milliseconds configuration_bound{10'000};
/// After a limit was lowered under what runs, until work was stopped.
constexpr milliseconds lowered_bound{15'000};

std::string at_text(instant at)
{
    return " at " + std::to_string(at.time_since_epoch().count()) + " ms";
}

bool is_start(const run_entry& run)
{
    return run.what == run_event::started;
}

std::string job_of(const run_entry& run)
{
    return run.attempt.task.job.str();
}

std::size_t starts_of(const transcript& played, const std::string& job)
{
    auto same = [&job](const run_entry& run)
    { return is_start(run) && job_of(run) == job; };
    return static_cast<std::size_t>(
        std::count_if(played.runs.begin(), played.runs.end(), same));
}

/// The limit of a team that binds at an instant: the largest of those that
/// were in force within the time that a lowering may take.
resources
binding_limit(const transcript& played, const std::string& team, instant at)
{
    resources bound;
    bool first = true;
    for (auto change = played.limits.begin(); change != played.limits.end();
         ++change)
    {
        if (change->team != team || change->at > at)
        {
            continue;
        }
        auto later = std::find_if(
            std::next(change),
            played.limits.end(),
            [&](const limit_noted& next) { return next.team == team; });
        const bool over =
            later != played.limits.end() && later->at + lowered_bound < at;
        if (!over)
        {
            bound = first ? change->limit : max(bound, change->limit);
            first = false;
        }
    }
    return bound;
}

bool accepted_work(const call_noted& call)
{
    return call.kind == "submit" || call.kind == "request";
}

} // namespace

breaks no_worker_over_capacity(const transcript& played)
{
    breaks found;
    std::map<std::string, resources> used;
    for (const run_entry& run : played.runs)
    {
        resources& here = used[run.worker.str()];
        if (!is_start(run))
        {
            here -= run.needs;
            continue;
        }
        here += run.needs;
        if (!here.fits_in(run.capacity))
        {
            found.push_back(
                run.worker.str() + " over its capacity" + at_text(run.at));
        }
    }
    return found;
}

breaks no_task_in_two_places(const transcript& played)
{
    breaks found;
    std::map<task_id, std::size_t> running;
    for (const run_entry& run : played.runs)
    {
        if (played.repeatable_requests.contains(job_of(run)))
        {
            continue;
        }
        std::size_t& count = running[run.attempt.task];
        if (!is_start(run))
        {
            --count;
            continue;
        }
        if (++count > 1)
        {
            found.push_back(
                to_string(run.attempt.task) + " in two places" +
                at_text(run.at));
        }
    }
    return found;
}

breaks only_valid_keys(const transcript& played)
{
    breaks found;
    for (const call_noted& call : played.calls)
    {
        if (!accepted_work(call) || call.team.empty())
        {
            continue;
        }
        auto owner = played.team_of_key.find(call.key);
        const bool own =
            owner != played.team_of_key.end() && owner->second == call.team;
        auto gone = played.keys_withdrawn.find(call.key);
        const bool withdrawn = gone != played.keys_withdrawn.end() &&
                               call.at > gone->second + key_bound;
        for (const answer_noted& answer : call.answers)
        {
            if (answer.accepted && (!own || withdrawn))
            {
                found.push_back(
                    call.id + " taken without a valid key" +
                    at_text(answer.at));
            }
        }
    }
    return found;
}

breaks no_team_over_limit(const transcript& played)
{
    breaks found;
    std::map<std::string, resources> used;
    for (const run_entry& run : played.runs)
    {
        auto team = played.team_of_job.find(job_of(run));
        if (team == played.team_of_job.end())
        {
            found.push_back(job_of(run) + " runs and nobody asked for it");
            continue;
        }
        resources& here = used[team->second];
        if (!is_start(run))
        {
            here -= run.needs;
            continue;
        }
        here += run.needs;
        if (!here.fits_in(binding_limit(played, team->second, run.at)))
        {
            found.push_back(team->second + " over its limit" + at_text(run.at));
        }
    }
    return found;
}

breaks own_whole_answers(const transcript& played)
{
    breaks found;
    for (const call_noted& call : played.calls)
    {
        if (call.answers.size() > 1)
        {
            found.push_back(call.id + " answered more than once");
        }
        for (const answer_noted& answer : call.answers)
        {
            if (answer.accepted && call.kind == "request" &&
                answer.text != call.expected)
            {
                found.push_back(
                    call.id + " got '" + answer.text + "' instead of '" +
                    call.expected + "'");
            }
        }
    }
    return found;
}

breaks true_refusals(const transcript& played)
{
    breaks found;
    std::set<std::string> taken;
    std::map<std::string, instant> refused;
    for (const call_noted& call : played.calls)
    {
        if (!accepted_work(call))
        {
            continue;
        }
        for (const answer_noted& answer : call.answers)
        {
            const bool not_run =
                !answer.accepted && answer.effect == verdict::not_run;
            if (not_run)
            {
                refused.emplace(call.id, answer.at);
            }
            else
            {
                taken.insert(call.id);
            }
        }
        if (call.answers.empty())
        {
            taken.insert(call.id);
        }
    }
    for (const auto& [id, at] : refused)
    {
        if (!taken.contains(id) && starts_of(played, id) > 0)
        {
            found.push_back(id + " ran although refused" + at_text(at));
        }
    }
    return found;
}

breaks at_most_once(const transcript& played)
{
    breaks found;
    std::set<std::string> checked;
    for (const call_noted& call : played.calls)
    {
        if (!accepted_work(call) || call.repeatable ||
            !checked.insert(call.id).second)
        {
            continue;
        }
        const std::size_t starts = starts_of(played, call.id);
        if (starts > 1)
        {
            found.push_back(
                call.id + " ran " + std::to_string(starts) + " times");
        }
    }
    return found;
}

breaks no_work_for_leaving(const transcript& played)
{
    breaks found;
    for (const run_entry& run : played.runs)
    {
        auto leaving = played.workers_leaving.find(run.worker.str());
        if (is_start(run) && leaving != played.workers_leaving.end() &&
            run.at > leaving->second + leaving_bound)
        {
            found.push_back(
                run.worker.str() + " was leaving and got " +
                to_string(run.attempt) + at_text(run.at));
        }
    }
    return found;
}

breaks no_request_cut_off(const transcript& played)
{
    breaks found;
    for (const call_noted& call : played.calls)
    {
        auto asked = played.shutdowns.find(call.via);
        if (asked == played.shutdowns.end() || call.at > asked->second)
        {
            continue;
        }
        auto ended = played.ended.find(call.via);
        const instant last =
            ended == played.ended.end() ? played.end : ended->second;
        auto in_time = [last](const answer_noted& answer)
        { return answer.at <= last; };
        if (std::none_of(call.answers.begin(), call.answers.end(), in_time))
        {
            found.push_back(
                call.id + " got no answer before " + call.via + " ended");
        }
    }
    return found;
}

breaks configuration_in_force_everywhere(const transcript& played)
{
    breaks found;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> last;
    std::map<std::string, instant> connected_since;
    for (const revision_noted& seen : played.seen)
    {
        auto& [inventory, rules] = last[seen.instance];
        if (seen.inventory < inventory || seen.rules < rules)
        {
            found.push_back(
                seen.instance + " went back to an older revision" +
                at_text(seen.at));
        }
        inventory = std::max(inventory, seen.inventory);
        rules = std::max(rules, seen.rules);
        if (!seen.connected)
        {
            connected_since.erase(seen.instance);
            continue;
        }
        const instant since =
            connected_since.emplace(seen.instance, seen.at).first->second;
        for (const change_noted& change : played.changes)
        {
            const bool due =
                std::max(change.at, since) + configuration_bound < seen.at;
            const std::uint64_t has =
                change.kind == "rules" ? seen.rules : seen.inventory;
            if (due && has < change.revision)
            {
                found.push_back(
                    seen.instance + " lacks " + change.kind + " " +
                    std::to_string(change.revision) + at_text(seen.at));
                return found;
            }
        }
    }
    return found;
}

const std::vector<promise>& all_promises()
{
    static const std::vector<promise> all{
        {"no worker over its capacity", no_worker_over_capacity},
        {"no task in two places", no_task_in_two_places},
        {"only valid keys", only_valid_keys},
        {"no team over its limit", no_team_over_limit},
        {"own whole answers", own_whole_answers},
        {"true refusals", true_refusals},
        {"at most once", at_most_once},
        {"no work for leaving workers", no_work_for_leaving},
        {"no request cut off", no_request_cut_off},
        {"configuration in force", configuration_in_force_everywhere},
    };
    return all;
}

} // namespace acaciastile::golden
