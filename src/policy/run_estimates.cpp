#include "policy/run_estimates.hpp"

#include <algorithm>

namespace acaciastile::impl
{

namespace
{

/// Groups examined for one that is not in use.
constexpr std::size_t max_groups_examined = 64;

template<std::size_t Count>
std::int64_t
largest(const std::array<std::int64_t, Count>& values, std::size_t count)
{
    return *std::max_element(values.begin(), values.begin() + count);
}

} // namespace

run_group run_estimates::acquire(team_slot team, const std::string& name)
{
    group_key key{team, name};
    auto at = by_key_.find(key);
    if (at != by_key_.end())
    {
        ++groups_[at->second].users;
        return at->second;
    }
    run_group group = allocate_group();
    if (group != no_slot)
    {
        groups_[group] = history{};
        groups_[group].key = key;
        groups_[group].users = 1;
        by_key_.emplace(std::move(key), group);
    }
    return group;
}

run_group run_estimates::allocate_group()
{
    if (groups_.size() < max_groups)
    {
        groups_.emplace_back();
        return static_cast<run_group>(groups_.size() - 1);
    }
    for (std::size_t examined = 0; examined < max_groups_examined; ++examined)
    {
        clock_hand_ = (clock_hand_ + 1) % groups_.size();
        if (groups_[clock_hand_].users == 0)
        {
            by_key_.erase(groups_[clock_hand_].key);
            return static_cast<run_group>(clock_hand_);
        }
    }
    return no_slot;
}

void run_estimates::release(run_group group)
{
    if (group != no_slot)
    {
        --groups_[group].users;
    }
}

void run_estimates::record_duration(run_group group, milliseconds duration)
{
    if (group == no_slot)
    {
        return;
    }
    history& known = groups_[group];
    known.durations_ms[known.runs % history_length] = duration.count();
    ++known.runs;
    std::size_t count = std::min(known.runs, history_length);
    std::array<std::int64_t, history_length> sorted = known.durations_ms;
    auto middle = sorted.begin() + count / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + count);
    known.duration.known = known.runs >= min_samples;
    known.duration.median = milliseconds(*middle);
    known.duration.longest = milliseconds(largest(known.durations_ms, count));
}

void run_estimates::record_usage(run_group group, const resources& peak)
{
    if (group == no_slot || peak.milli_processors <= 0 || peak.memory_mib <= 0)
    {
        return;
    }
    history& known = groups_[group];
    std::size_t at = known.sizes % history_length;
    known.milli_processors[at] = peak.milli_processors;
    known.memory_mib[at] = peak.memory_mib;
    ++known.sizes;
    std::size_t count = std::min(known.sizes, history_length);
    known.usage.known = known.sizes >= min_samples;
    known.usage.peak = {
        largest(known.milli_processors, count),
        largest(known.memory_mib, count),
        0};
}

run_estimates::duration_estimate
run_estimates::duration_of(run_group group) const
{
    return group == no_slot ? duration_estimate{} : groups_[group].duration;
}

run_estimates::usage_estimate
run_estimates::usage_estimate_of(run_group group) const
{
    return group == no_slot ? usage_estimate{} : groups_[group].usage;
}

} // namespace acaciastile::impl
