#include "platform/embedded/embedded_network.hpp"

namespace acaciastile
{

namespace
{

std::pair<std::string, std::string>
sorted_pair(const std::string& left, const std::string& right)
{
    return left < right ? std::pair(left, right) : std::pair(right, left);
}

} // namespace

embedded_network::embedded_network(
    timer_queue& timers, embedded_network_settings settings)
    : timers_(timers), settings_(settings), random_(settings.seed)
{
}

void embedded_network::join(
    const std::string& endpoint, const std::string& group)
{
    groups_[endpoint] = group;
}

void embedded_network::cut(
    const std::string& left, const std::string& right, cut_manner manner)
{
    cuts_[sorted_pair(left, right)] = manner;
}

void embedded_network::heal(const std::string& left, const std::string& right)
{
    cuts_.erase(sorted_pair(left, right));
}

void embedded_network::heal_all()
{
    cuts_.clear();
}

void embedded_network::slow(const std::string& endpoint, milliseconds extra)
{
    slow_[endpoint] = extra;
}

void embedded_network::pause(const std::string& endpoint)
{
    paused_.try_emplace(endpoint);
}

void embedded_network::resume(const std::string& endpoint)
{
    auto node = paused_.extract(endpoint);
    if (node.empty())
    {
        return;
    }
    for (auto& work : node.mapped())
    {
        timers_.after(
            milliseconds{0},
            [this, endpoint, work = std::move(work)]() mutable
            { deliver(endpoint, std::move(work)); });
    }
}

const cut_manner* embedded_network::cut_between(
    const std::string& left, const std::string& right) const
{
    if (cuts_.empty())
    {
        return nullptr;
    }
    auto names_of = [this](const std::string& endpoint)
    {
        std::vector<std::string> names{endpoint, everyone};
        auto group = groups_.find(endpoint);
        if (group != groups_.end())
        {
            names.push_back(group->second);
        }
        return names;
    };
    for (const std::string& first : names_of(left))
    {
        for (const std::string& second : names_of(right))
        {
            auto at = cuts_.find(sorted_pair(first, second));
            if (at != cuts_.end())
            {
                return &at->second;
            }
        }
    }
    return nullptr;
}

milliseconds
embedded_network::delay(const std::string& from, const std::string& to)
{
    std::uniform_int_distribution<milliseconds::rep> spread(
        settings_.least_delay.count(), settings_.most_delay.count());
    milliseconds total{spread(random_)};
    for (const std::string& endpoint : {from, to})
    {
        auto extra = slow_.find(endpoint);
        if (extra != slow_.end())
        {
            total += extra->second;
        }
    }
    return total;
}

void embedded_network::deliver(
    const std::string& endpoint, std::function<void()> work)
{
    auto held = paused_.find(endpoint);
    if (held != paused_.end())
    {
        held->second.push_back(std::move(work));
        return;
    }
    work();
}

} // namespace acaciastile
