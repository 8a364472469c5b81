#include "policy/run_estimates.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Groups looked at for one that nobody holds.
constexpr std::size_t groups_looked_at = 64;

template<std::size_t Count>
std::int64_t
largest(const std::array<std::int64_t, Count>& values, std::size_t used)
{
    return *std::max_element(values.begin(), values.begin() + used);
}

} // namespace

run_group run_estimates::hold(team_slot team, const std::string& name)
{
    group_key key{team, name};
    auto at = by_key_.find(key);
    if (at != by_key_.end())
    {
        ++groups_[at->second].holders;
        return at->second;
    }
    run_group group = make_room();
    if (group != no_slot)
    {
        groups_[group] = history{};
        groups_[group].key = key;
        groups_[group].holders = 1;
        by_key_.emplace(std::move(key), group);
    }
    return group;
}

run_group run_estimates::make_room()
{
    if (groups_.size() < groups_remembered)
    {
        groups_.emplace_back();
        return static_cast<run_group>(groups_.size() - 1);
    }
    for (std::size_t looked = 0; looked < groups_looked_at; ++looked)
    {
        hand_ = (hand_ + 1) % groups_.size();
        if (groups_[hand_].holders == 0)
        {
            by_key_.erase(groups_[hand_].key);
            return static_cast<run_group>(hand_);
        }
    }
    return no_slot;
}

void run_estimates::release(run_group group)
{
    if (group != no_slot)
    {
        --groups_[group].holders;
    }
}

void run_estimates::learn_run(run_group group, milliseconds ran)
{
    if (group == no_slot)
    {
        return;
    }
    history& known = groups_[group];
    known.runs_ms[known.runs % runs_remembered] = ran.count();
    ++known.runs;
    std::size_t used = std::min(known.runs, runs_remembered);
    std::array<std::int64_t, runs_remembered> sorted = known.runs_ms;
    auto middle = sorted.begin() + used / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + used);
    known.run.known = known.runs >= runs_needed;
    known.run.typical = milliseconds(*middle);
    known.run.longest = milliseconds(largest(known.runs_ms, used));
}

void run_estimates::learn_size(run_group group, const resources& peak)
{
    if (group == no_slot || peak.milli_processors <= 0 || peak.memory_mib <= 0)
    {
        return;
    }
    history& known = groups_[group];
    std::size_t at = known.sizes % runs_remembered;
    known.milli_processors[at] = peak.milli_processors;
    known.memory_mib[at] = peak.memory_mib;
    ++known.sizes;
    std::size_t used = std::min(known.sizes, runs_remembered);
    known.size.known = known.sizes >= runs_needed;
    known.size.peak = {
        largest(known.milli_processors, used),
        largest(known.memory_mib, used),
        0};
}

run_estimates::run_estimate run_estimates::run_of(run_group group) const
{
    return group == no_slot ? run_estimate{} : groups_[group].run;
}

run_estimates::size_estimate run_estimates::size_of(run_group group) const
{
    return group == no_slot ? size_estimate{} : groups_[group].size;
}

} // namespace acaciastile::impl
