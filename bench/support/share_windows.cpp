#include "support/share_windows.hpp"

#include <algorithm>
#include <cmath>

namespace acaciastile::bench
{

namespace
{

constexpr std::size_t samples_of_window = 60; ///< Ten minutes of samples.
constexpr double backlog_part = 0.01;         ///< Of the fleet; waits at least.
constexpr double limit_part = 0.98; ///< Above it the limit holds a team back.

double part(std::int64_t of, std::int64_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(of) / static_cast<double>(whole);
}

} // namespace

share_windows::share_windows(const workload& work) : work_(work)
{
    const auto& teams = work.in_force.teams();
    absl::flat_hash_map<team_name, std::uint32_t> at_name;
    for (std::uint32_t at = 0; at < teams.size(); ++at)
    {
        at_name[teams[at].name] = at;
    }
    for (const planned_job& job : work.jobs)
    {
        team_of_job_.push_back(at_name.at(job.request.team));
    }
    for (const worker_entry& worker : work.workers)
    {
        total_ += worker.capacity;
    }
    held_.resize(teams.size());
    granted_.resize(teams.size());
    teams_.resize(teams.size());
}

double share_windows::dominant(const resources& size) const
{
    return std::max(
        {part(size.milli_processors, total_.milli_processors),
         part(size.memory_mib, total_.memory_mib),
         part(size.accelerators, total_.accelerators)});
}

bool share_windows::hold(
    std::uint32_t job, const resources& granted, const resources& used)
{
    std::uint32_t team = team_of_job_[job];
    held_[team] += max(granted, used);
    granted_[team] += granted;
    return granted_[team].fits_in(work_.in_force.teams()[team].upper_limit);
}

void share_windows::release(
    std::uint32_t job, const resources& granted, const resources& used)
{
    held_[team_of_job_[job]] -= max(granted, used);
    granted_[team_of_job_[job]] -= granted;
}

bool share_windows::sample(const scheduler& deciding)
{
    const auto& rules = work_.in_force.teams();
    std::vector<std::uint32_t> backlogged;
    double held = 0.0;
    double weights = 0.0;
    for (std::uint32_t at = 0; at < rules.size(); ++at)
    {
        double waits = dominant(deciding.demand_of(rules[at].name));
        const resources& limit = rules[at].upper_limit;
        bool limited =
            part(granted_[at].milli_processors, limit.milli_processors) >
                limit_part ||
            part(granted_[at].memory_mib, limit.memory_mib) > limit_part;
        if (waits < backlog_part || limited)
        {
            continue;
        }
        backlogged.push_back(at);
        held += dominant(held_[at]);
        weights += rules[at].share;
    }
    if (backlogged.size() > 1)
    {
        for (std::uint32_t at : backlogged)
        {
            teams_[at].held += dominant(held_[at]);
            teams_[at].entitled += held * rules[at].share / weights;
            ++teams_[at].samples;
        }
    }
    if (++samples_in_window_ == samples_of_window)
    {
        close_windows();
    }
    return !backlogged.empty();
}

void share_windows::close_windows()
{
    for (team_window& team : teams_)
    {
        if (team.samples == samples_of_window)
        {
            double error = std::abs(team.held - team.entitled) / team.entitled;
            team.error_sum += error;
            team.worst = std::max(team.worst, error);
            ++team.windows;
        }
        team.held = 0.0;
        team.entitled = 0.0;
        team.samples = 0;
    }
    samples_in_window_ = 0;
}

void share_windows::report(outcome& made) const
{
    const auto& rules = work_.in_force.teams();
    double errors = 0.0;
    std::size_t counted = 0;
    for (std::size_t at = 0; at < teams_.size(); ++at)
    {
        const team_window& team = teams_[at];
        made.windows += team.windows;
        if (team.windows == 0)
        {
            made.team_errors.push_back(-1.0);
            continue;
        }
        double mean = team.error_sum / static_cast<double>(team.windows);
        made.team_errors.push_back(mean);
        errors += mean;
        ++counted;
        if (rules[at].name == work_.largest_team)
        {
            made.largest_team_error = mean;
            made.largest_team_worst = team.worst;
        }
    }
    if (counted > 0)
    {
        made.mean_team_error = errors / static_cast<double>(counted);
    }
}

} // namespace acaciastile::bench
