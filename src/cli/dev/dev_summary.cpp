#include "cli/dev/dev_summary.hpp"

#include "cli/output.hpp"
#include "observe/distribution.hpp"

#include <absl/strings/str_format.h>
#include <cmath>
#include <map>

namespace acaciastile
{

using nlohmann::json;

namespace
{

constexpr double percent = 100.0;
constexpr double milli = 1'000.0;

std::size_t count(const std::vector<mix_result>& results, mix_outcome outcome)
{
    std::size_t found = 0;
    for (const mix_result& each : results)
    {
        found += each.outcome == outcome ? 1 : 0;
    }
    return found;
}

json refusals_by_code(const std::vector<mix_result>& results)
{
    std::map<std::string_view, std::size_t> counts;
    for (const mix_result& each : results)
    {
        if (each.outcome == mix_outcome::refused)
        {
            ++counts[to_string(each.code)];
        }
    }
    json list = json::array();
    for (const auto& [code, number] : counts)
    {
        list.push_back({{"code", code}, {"count", number}});
    }
    return list;
}

/// What has no outcome at the end, and why.
json list_unsettled(const std::vector<mix_result>& results)
{
    json list = json::array();
    for (const mix_result& each : results)
    {
        if (each.outcome == mix_outcome::waiting ||
            each.outcome == mix_outcome::unknown)
        {
            list.push_back(
                {{"job", each.item.spec.id.str()}, {"why", each.why}});
        }
    }
    return list;
}

/// When each task first started.
std::map<task_id, instant> first_starts(const std::vector<run_entry>& journal)
{
    std::map<task_id, instant> found;
    for (const run_entry& entry : journal)
    {
        if (entry.what == run_event::started)
        {
            found.emplace(entry.attempt.task, entry.at);
        }
    }
    return found;
}

json waiting_by_class(
    const std::vector<mix_result>& results,
    const std::vector<run_entry>& journal)
{
    std::map<job_id, const mix_result*> by_id;
    for (const mix_result& each : results)
    {
        by_id.emplace(each.item.spec.id, &each);
    }
    std::map<work_class, distribution> waits;
    for (const auto& [task, started] : first_starts(journal))
    {
        auto at = by_id.find(task.job);
        if (at != by_id.end())
        {
            const milliseconds waited = started - at->second->sent;
            waits[at->second->item.policy].add(
                static_cast<double>(waited.count()));
        }
    }
    json list = json::array();
    for (const auto& [policy, wait] : waits)
    {
        list.push_back(
            {{"class", to_string(policy)},
             {"tasks", wait.count()},
             {"p50_ms", std::llround(wait.p50())},
             {"p99_ms", std::llround(wait.p99())},
             {"max_ms", std::llround(wait.max())}});
    }
    return list;
}

/// Processor time that each team's tasks took, in seconds of one processor.
std::map<team_name, double> processor_seconds(
    const std::vector<mix_result>& results,
    const std::vector<run_entry>& journal,
    const rules& in_force,
    instant now)
{
    std::map<job_id, team_name> teams;
    for (const mix_result& each : results)
    {
        const job_spec& spec = each.item.spec;
        const queue_rule* queue = in_force.find(spec.queue);
        const bool open = queue != nullptr && queue->open_to_all;
        teams[spec.id] = open ? queue->charged_team : spec.team;
    }
    std::map<attempt_id, instant> running;
    std::map<team_name, double> taken;
    auto add = [&](const run_entry& entry, instant from, instant to)
    {
        const std::chrono::duration<double> ran = to - from;
        const auto processors =
            static_cast<double>(entry.needs.milli_processors) / milli;
        taken[teams[entry.attempt.task.job]] += ran.count() * processors;
    };
    std::map<attempt_id, run_entry> open;
    for (const run_entry& entry : journal)
    {
        if (entry.what == run_event::started)
        {
            open.insert_or_assign(entry.attempt, entry);
            continue;
        }
        auto at = open.find(entry.attempt);
        if (at != open.end())
        {
            add(at->second, at->second.at, entry.at);
            open.erase(at);
        }
    }
    for (const auto& [attempt, entry] : open)
    {
        add(entry, entry.at, now);
    }
    return taken;
}

json share_by_team(
    const std::map<team_name, double>& taken, const rules& in_force)
{
    double all = 0;
    double shares = 0;
    for (const team_rule& team : in_force.teams())
    {
        shares += team.share;
    }
    for (const auto& [team, seconds] : taken)
    {
        all += seconds;
    }
    json list = json::array();
    for (const team_rule& team : in_force.teams())
    {
        auto at = taken.find(team.name);
        const double seconds = at == taken.end() ? 0.0 : at->second;
        const double part = all > 0 ? percent * seconds / all : 0.0;
        list.push_back(
            {{"team", team.name.str()},
             {"processor_seconds", absl::StrFormat("%.1f", seconds)},
             {"part", absl::StrFormat("%.1f%%", part)},
             {"share",
              absl::StrFormat("%.1f%%", percent * team.share / shares)}});
    }
    return list;
}

json count_outcomes(const std::vector<mix_result>& results)
{
    std::size_t failed = 0;
    for (const mix_result& each : results)
    {
        failed += each.failed_tasks > 0 ? 1 : 0;
    }
    return {
        {"submitted", results.size()},
        {"ran", count(results, mix_outcome::ran)},
        {"of_these_failed", failed},
        {"refused", count(results, mix_outcome::refused)},
        {"cancelled", count(results, mix_outcome::cancelled)},
        {"still_running", count(results, mix_outcome::still_running)},
        {"still_waiting", count(results, mix_outcome::waiting)},
        {"unknown", count(results, mix_outcome::unknown)}};
}

} // namespace

dev_summary summarize(
    const std::vector<mix_result>& results,
    const std::vector<run_entry>& journal,
    const rules& in_force,
    instant now)
{
    const json counts = count_outcomes(results);
    const journal_findings found = check_journal(journal, results);
    auto number = [&](const char* name)
    { return counts.at(name).get<std::size_t>(); };
    dev_summary made;
    made.adds_up = number("submitted") == number("ran") + number("refused") +
                                              number("cancelled") +
                                              number("still_running") &&
                   found.clean();
    made.content = {
        {"jobs", counts},
        {"unsettled", list_unsettled(results)},
        {"refusals", refusals_by_code(results)},
        {"waiting", waiting_by_class(results, journal)},
        {"teams",
         share_by_team(
             processor_seconds(results, journal, in_force, now), in_force)},
        {"journal",
         {{"started", found.started},
          {"in_two_places", found.in_two_places},
          {"over_capacity", found.over_capacity},
          {"run_again", found.run_again}}},
        {"adds_up", made.adds_up}};
    return made;
}

std::string write_summary(const dev_summary& summary)
{
    const json& in = summary.content;
    const json& jobs = in.at("jobs");
    auto number = [&](const char* name) -> std::size_t
    { return jobs.at(name).get<std::size_t>(); };
    std::string text = absl::StrFormat(
        "jobs and requests: %d submitted = %d ran + %d refused + %d "
        "cancelled + %d still running\n",
        number("submitted"),
        number("ran"),
        number("refused"),
        number("cancelled"),
        number("still_running"));
    text += absl::StrFormat(
        "not settled: %d still waiting, %d with unknown outcome; %d of those "
        "that ran have failed tasks\n",
        number("still_waiting"),
        number("unknown"),
        number("of_these_failed"));
    if (!in.at("unsettled").empty())
    {
        text += format_table(
            in.at("unsettled"), {{"NOT SETTLED", "job"}, {"WHY", "why"}});
    }
    text +=
        "\nrefused, by code\n" +
        format_table(in.at("refusals"), {{"CODE", "code"}, {"COUNT", "count"}});
    text += "\nwaiting time by class, from sending to the start on a worker\n" +
            format_table(
                in.at("waiting"),
                {{"CLASS", "class"},
                 {"TASKS", "tasks"},
                 {"P50 MS", "p50_ms"},
                 {"P99 MS", "p99_ms"},
                 {"MAX MS", "max_ms"}});
    text +=
        "\nprocessor time by team; the share binds when the fleet is full\n" +
        format_table(
            in.at("teams"),
            {{"TEAM", "team"},
             {"PROCESSOR S", "processor_seconds"},
             {"PART", "part"},
             {"SHARE", "share"}});
    const json& journal = in.at("journal");
    text += absl::StrFormat(
        "\nworkers' journal: %d starts, %d in two places, %d over capacity, "
        "%d not repeatable run again\n",
        journal.at("started").get<std::size_t>(),
        journal.at("in_two_places").get<std::size_t>(),
        journal.at("over_capacity").get<std::size_t>(),
        journal.at("run_again").get<std::size_t>());
    text +=
        summary.adds_up ? "the counts add up\n" : "THE COUNTS DO NOT ADD UP\n";
    return text;
}

} // namespace acaciastile
