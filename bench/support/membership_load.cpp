#include "support/membership_load.hpp"

#include "support/cpu_time.hpp"
#include "support/fakes/member_network.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace acaciastile::bench
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;
using testing::member_network;

constexpr std::size_t members_in_centre = 9;
constexpr int deaths_measured = 8;
constexpr milliseconds resolution{50};
constexpr milliseconds list_check{1'000};
constexpr milliseconds patience = minutes{3};

/// A name as long as those that VM lists give.
std::string name(std::size_t number)
{
    std::string digits = std::to_string(number);
    digits.insert(0, 4 - std::min<std::size_t>(digits.size(), 4), '0');
    return "entry-vm-" + digits;
}

std::string centre(std::size_t number)
{
    return "region-1-dc-" + std::to_string(number / members_in_centre);
}

bool all_listed(member_network& network)
{
    const auto ids = network.ids();
    return std::all_of(
        ids.begin(),
        ids.end(),
        [&](const std::string& id)
        { return network.at(id).alive().size() == ids.size(); });
}

milliseconds run_until_all_listed(member_network& network)
{
    const instant begin = network.now();
    while (!all_listed(network) && network.now() - begin < patience)
    {
        network.run_for(list_check);
    }
    return network.now() - begin;
}

void measure_steady(member_network& network, membership_cost& cost)
{
    constexpr seconds time{120};
    member_network::traffic before;
    for (const std::string& id : network.ids())
    {
        before.bytes += network.traffic_of(id).bytes;
        before.messages += network.traffic_of(id).messages;
    }
    const auto cpu = cpu_time();
    network.run_for(time);
    const std::chrono::duration<double> used = cpu_time() - cpu;
    member_network::traffic after;
    for (const std::string& id : network.ids())
    {
        after.bytes += network.traffic_of(id).bytes;
        after.messages += network.traffic_of(id).messages;
    }
    const double member_seconds =
        static_cast<double>(cost.members) * static_cast<double>(time.count());
    cost.bytes_per_second =
        static_cast<double>(after.bytes - before.bytes) / member_seconds;
    cost.messages_per_second =
        static_cast<double>(after.messages - before.messages) / member_seconds;
    cost.cpu_per_second = used.count() / member_seconds;
}

/// Ends one member and collects the time until each survivor lists it no
/// more.
void measure_death(
    member_network& network,
    const std::string& victim,
    std::vector<milliseconds>& times)
{
    network.kill(victim);
    const instant begin = network.now();
    std::vector<std::string> unaware = network.ids();
    while (!unaware.empty() && network.now() - begin < patience)
    {
        network.run_for(resolution);
        std::erase_if(
            unaware,
            [&](const std::string& id)
            {
                const bool aware =
                    !network.at(id).is_alive(instance_id{victim});
                if (aware)
                {
                    times.push_back(network.now() - begin);
                }
                return aware;
            });
    }
    times.insert(times.end(), unaware.size(), patience);
}

void measure_detection(member_network& network, membership_cost& cost)
{
    std::vector<milliseconds> times;
    for (int n = 0; n < deaths_measured; ++n)
    {
        const std::size_t victim =
            static_cast<std::size_t>(n) * cost.members / deaths_measured;
        measure_death(network, name(victim), times);
        network.start(name(victim), centre(victim));
        run_until_all_listed(network);
    }
    std::sort(times.begin(), times.end());
    cost.detection_median = times[times.size() / 2];
    cost.detection_most = times.back();
}

void measure_cut(member_network& network, membership_cost& cost)
{
    const std::string border = name(std::max<std::size_t>(cost.members / 9, 1));
    network.is_cut = [border](const std::string& left, const std::string& right)
    { return (left < border) != (right < border); };
    network.run_for(minutes{3});
    network.is_cut = [](const std::string&, const std::string&)
    { return false; };
    std::map<std::string, std::uint64_t> before;
    for (const std::string& id : network.ids())
    {
        before[id] = network.traffic_of(id).bytes;
    }
    cost.heal = run_until_all_listed(network);
    for (const std::string& id : network.ids())
    {
        const auto sent =
            static_cast<double>(network.traffic_of(id).bytes - before[id]);
        const double rate = sent * 1e3 / static_cast<double>(cost.heal.count());
        cost.heal_bytes_per_second = std::max(cost.heal_bytes_per_second, rate);
    }
}

std::uint64_t deaths_seen(member_network& network)
{
    std::uint64_t seen = 0;
    for (const std::string& id : network.ids())
    {
        seen += network.events_of(id).counts[event_number::member_left];
    }
    return seen;
}

} // namespace

membership_cost measure_membership(std::size_t members, std::uint64_t seed)
{
    membership_cost cost;
    cost.members = members;
    member_network network(seed);
    for (std::size_t n = 0; n < members; ++n)
    {
        network.start(name(n), centre(n));
    }
    cost.join = run_until_all_listed(network);
    network.run_for(minutes{3});
    measure_steady(network, cost);
    cost.wrong_deaths = deaths_seen(network);
    measure_detection(network, cost);
    measure_cut(network, cost);
    return cost;
}

} // namespace acaciastile::bench
