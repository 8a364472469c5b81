#pragma once

#include "domain/cell_record.hpp"

#include <string>
#include <utility>
#include <vector>

namespace acaciastile::samples
{

[[nodiscard]] inline worker_entry
worker(const std::string& id, const std::string& address = "127.0.0.1:9000")
{
    return {
        worker_id(id),
        data_centre_name("almaty-1"),
        rack_name("r1"),
        address,
        {32'000, 64'000, 2}};
}

[[nodiscard]] inline inventory workers(std::vector<worker_entry> list)
{
    return inventory::create(std::move(list)).value();
}

[[nodiscard]] inline rules
one_team(const std::string& name, const resources& upper_limit)
{
    return rules::create({{team_name(name), 1, upper_limit}}, {}).value();
}

[[nodiscard]] inline key_entry
caller_key(const std::string& id, const std::string& team = "planning")
{
    return {key_id(id), team_name(team), key_right::caller, "00", "00"};
}

[[nodiscard]] inline key_entry operator_key(const std::string& id)
{
    return {key_id(id), team_name(), key_right::operate, "00", "00"};
}

[[nodiscard]] inline shard_claimed
claim(const std::string& shard, shard_epoch base, const std::string& owner)
{
    return {shard_id(shard), instance_id(owner), "127.0.0.1:1", base};
}

[[nodiscard]] inline allowance_set allow(
    const std::string& shard,
    shard_epoch epoch,
    const std::string& team,
    const resources& amount)
{
    return {shard_id(shard), epoch, team_name(team), amount};
}

} // namespace acaciastile::samples
