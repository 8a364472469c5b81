#include "cli/instance_setup.hpp"

#include "cli/random_bytes.hpp"
#include "policy/fair_scheduler.hpp"

#include <chrono>

namespace acaciastile
{

namespace
{

constexpr std::size_t id_random_bytes = 6;

std::uint64_t make_incarnation()
{
    using namespace std::chrono;
    const auto since = system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(since).count());
}

} // namespace

instance_settings make_instance_settings(
    const instance_identity& identity,
    const instance_tuning& tuning,
    std::optional<key_entry> bootstrap_key)
{
    instance_settings made;
    made.self.id =
        instance_id(identity.name + "." + draw_random_hex(id_random_bytes));
    made.self.data_centre = identity.data_centre;
    made.self.address = identity.address;
    made.self.incarnation = make_incarnation();
    made.notify_address = identity.address;
    made.members.probe_interval = tuning.probe_interval;
    made.members.suspicion = tuning.suspicion;
    made.shard.link.lease = tuning.lease;
    made.shard.link.beat = tuning.beat;
    made.vm_poll = tuning.vm_poll;
    made.key_staleness = tuning.key_staleness;
    made.shard_workers = tuning.shard_workers;
    made.fleet_appends_per_second = tuning.appends_per_second;
    made.bootstrap_key = std::move(bootstrap_key);
    return made;
}

instance_ports make_common_ports()
{
    instance_ports made;
    made.make_scheduler = [] { return fair_scheduler::create({}); };
    made.random_bytes = [](std::size_t count)
    {
        const auto bytes = draw_random_bytes(count);
        return std::string(bytes.begin(), bytes.end());
    };
    return made;
}

} // namespace acaciastile
