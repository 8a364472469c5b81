#include "codec/compact_codec.hpp"

#include "codec/array_reader.hpp"
#include "codec/enum_names.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile
{

namespace
{

using json = nlohmann::json;

template<class Value>
result<Value> finish(array_reader& items, Value decoded)
{
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return decoded;
}

result<team_name> team_from_compact(const json& value)
{
    team_name name;
    if (impl::get(value, name) != nullptr)
    {
        return refuse(refusal_code::malformed, "team: expected a string");
    }
    return name;
}

/// Encodes a worker without data centre and rack, which its groups hold.
json worker_to_compact(const worker_entry& worker)
{
    return json::array(
        {worker.id.str(), worker.address, to_compact(worker.capacity)});
}

result<worker_entry> worker_from_compact(const json& value)
{
    worker_entry decoded;
    array_reader items(value, "worker");
    items.next(decoded.id)
        .next(decoded.address)
        .next(decoded.capacity, resources_from_compact);
    return finish(items, std::move(decoded));
}

struct rack_group
{
    rack_name name;
    std::vector<worker_entry> workers;
};

result<rack_group> rack_from_compact(const json& value)
{
    rack_group decoded;
    array_reader items(value, "rack");
    items.next(decoded.name).next_list(decoded.workers, worker_from_compact);
    return finish(items, std::move(decoded));
}

struct data_centre_group
{
    data_centre_name name;
    std::vector<rack_group> racks;
};

result<data_centre_group> data_centre_from_compact(const json& value)
{
    data_centre_group decoded;
    array_reader items(value, "data centre");
    items.next(decoded.name).next_list(decoded.racks, rack_from_compact);
    return finish(items, std::move(decoded));
}

std::vector<worker_entry> ungroup(std::vector<data_centre_group> groups)
{
    std::vector<worker_entry> workers;
    for (data_centre_group& group : groups)
    {
        for (rack_group& rack : group.racks)
        {
            for (worker_entry& worker : rack.workers)
            {
                worker.data_centre = group.name;
                worker.rack = rack.name;
                workers.push_back(std::move(worker));
            }
        }
    }
    return workers;
}

} // namespace

json to_compact(const resources& value)
{
    return json::array(
        {value.milli_processors, value.memory_mib, value.accelerators});
}

json to_compact(const worker_entry& value)
{
    return json::array(
        {value.id.str(),
         value.data_centre.str(),
         value.rack.str(),
         value.address,
         to_compact(value.capacity)});
}

result<worker_entry> worker_entry_from_compact(const json& value)
{
    worker_entry decoded;
    array_reader items(value, "worker");
    items.next(decoded.id)
        .next(decoded.data_centre)
        .next(decoded.rack)
        .next(decoded.address)
        .next(decoded.capacity, resources_from_compact);
    return finish(items, std::move(decoded));
}

json to_compact(const team_rule& team)
{
    return json::array(
        {team.name.str(), team.share, to_compact(team.upper_limit)});
}

result<team_rule> team_rule_from_compact(const json& value)
{
    team_rule decoded;
    array_reader items(value, "team");
    items.next(decoded.name)
        .next(decoded.share)
        .next(decoded.upper_limit, resources_from_compact);
    return finish(items, std::move(decoded));
}

json to_compact(const queue_rule& queue)
{
    json teams = json::array();
    for (const team_name& team : queue.teams)
    {
        teams.push_back(team.str());
    }
    return json::array(
        {queue.name.str(),
         static_cast<int>(queue.policy),
         queue.open_to_all,
         std::move(teams),
         queue.charged_team.str(),
         queue.queue_bound,
         queue.preemptible,
         queue.oversubscribe});
}

result<queue_rule> queue_rule_from_compact(const json& value)
{
    queue_rule decoded;
    array_reader items(value, "queue");
    items.next(decoded.name)
        .next_enum(decoded.policy, work_class_names.size())
        .next(decoded.open_to_all)
        .next_list(decoded.teams, team_from_compact)
        .next(decoded.charged_team)
        .next(decoded.queue_bound)
        .next(decoded.preemptible)
        .next(decoded.oversubscribe);
    return finish(items, std::move(decoded));
}

json to_compact(const inventory& value)
{
    std::map<data_centre_name, std::map<rack_name, json>> groups;
    for (const worker_entry& worker : value.workers())
    {
        json& rack = groups[worker.data_centre][worker.rack];
        rack.push_back(worker_to_compact(worker));
    }
    json data_centres = json::array();
    for (auto& [data_centre, racks] : groups)
    {
        json rack_list = json::array();
        for (auto& [rack, workers] : racks)
        {
            rack_list.push_back(json::array({rack.str(), std::move(workers)}));
        }
        data_centres.push_back(
            json::array({data_centre.str(), std::move(rack_list)}));
    }
    return data_centres;
}

json to_compact(const rules& value)
{
    json teams = json::array();
    for (const team_rule& team : value.teams())
    {
        teams.push_back(to_compact(team));
    }
    json queues = json::array();
    for (const queue_rule& queue : value.queues())
    {
        queues.push_back(to_compact(queue));
    }
    return json::array({std::move(teams), std::move(queues)});
}

json to_compact(const key_entry& value)
{
    return json::array(
        {value.id.str(),
         value.team.str(),
         static_cast<int>(value.right),
         value.salt_hex,
         value.hash_hex});
}

json to_compact(const job_spec& value)
{
    return json::array(
        {value.id.str(),
         value.team.str(),
         value.queue.str(),
         static_cast<int>(value.kind),
         value.name,
         value.tasks,
         to_compact(value.each),
         value.run_time.count(),
         value.repeatable,
         value.max_attempts,
         value.deadline.count(),
         value.payload});
}

result<resources> resources_from_compact(const json& value)
{
    resources decoded;
    array_reader items(value, "resources");
    items.next(decoded.milli_processors)
        .next(decoded.memory_mib)
        .next(decoded.accelerators);
    return finish(items, decoded);
}

result<inventory> inventory_from_compact(const json& value)
{
    const json wrapped = json::array({value});
    std::vector<data_centre_group> groups;
    array_reader items(wrapped, "inventory");
    items.next_list(groups, data_centre_from_compact);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return inventory::create(ungroup(std::move(groups)));
}

result<rules> rules_from_compact(const json& value)
{
    std::vector<team_rule> teams;
    std::vector<queue_rule> queues;
    array_reader items(value, "rules");
    items.next_list(teams, team_rule_from_compact)
        .next_list(queues, queue_rule_from_compact);
    if (auto checked = items.finish(); !checked)
    {
        return tl::unexpected(checked.error());
    }
    return rules::create(std::move(teams), std::move(queues));
}

result<key_entry> key_entry_from_compact(const json& value)
{
    key_entry decoded;
    array_reader items(value, "key");
    items.next(decoded.id)
        .next(decoded.team)
        .next_enum(decoded.right, key_right_names.size())
        .next(decoded.salt_hex)
        .next(decoded.hash_hex);
    return finish(items, std::move(decoded));
}

result<job_spec> job_spec_from_compact(const json& value)
{
    job_spec decoded;
    array_reader items(value, "job");
    items.next(decoded.id)
        .next(decoded.team)
        .next(decoded.queue)
        .next_enum(decoded.kind, job_kind_names.size())
        .next(decoded.name)
        .next(decoded.tasks)
        .next(decoded.each, resources_from_compact)
        .next(decoded.run_time)
        .next(decoded.repeatable)
        .next(decoded.max_attempts)
        .next(decoded.deadline)
        .next(decoded.payload);
    return finish(items, std::move(decoded));
}

} // namespace acaciastile
