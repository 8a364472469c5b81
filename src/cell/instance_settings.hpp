#pragma once

#include "cell/cell_follower.hpp"
#include "cell/claim_planner.hpp"
#include "cell/membership.hpp"
#include "cell/record_writer.hpp"
#include "cell/relayed_log.hpp"
#include "cell/shard_map.hpp"
#include "cell/shard_router.hpp"
#include "cell/shard_settings.hpp"
#include "domain/key_entry.hpp"
#include "domain/metric_sink.hpp"
#include "platform/worker_gateway.hpp"
#include "policy/scheduler.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace acaciastile
{

/// Settings of one instance.
struct instance_settings
{
    /// The id must be new at each start of the process, so that claims made
    /// before a restart are never mistaken for its own.
    member self;
    std::string notify_address; ///< Workers send notices of ends here.
    membership_settings members;
    claim_settings claims;
    shard_settings shard;
    cell_follower_settings follower;
    relayed_log_settings relay;
    shard_router_settings router;
    record_writer_settings writer; ///< For the cell's stream.
    std::size_t shard_workers = shard_map::default_shard_workers;
    milliseconds vm_poll{2'000};
    milliseconds claim_interval{500};
    /// Calls with a key are refused if neither the log nor a peer has
    /// answered for this long.
    milliseconds key_staleness{5'000};
    milliseconds submit_timeout{8'000};
    milliseconds publish_timeout{5'000};
    milliseconds peer_timeout{2'000};
    milliseconds release_timeout{5'000};
    milliseconds shutdown_timeout{20'000};
    milliseconds longest_deadline{10 * 60 * 1000};
    /// Total rate of appends to all shard streams of the cell, per second.
    std::size_t fleet_appends_per_second = 300;
    /// Accepted as an operator's key until the log contains one.
    std::optional<key_entry> bootstrap_key;
};

/// External dependencies of an instance. The objects must outlive it.
struct instance_ports
{
    log_service* log = nullptr;
    vm_list* vms = nullptr;
    worker_gateway* workers = nullptr;
    peer_gateway* peers = nullptr;
    event_sink* events = nullptr;
    metric_sink* metrics = nullptr;
    const clock_source* clock = nullptr;
    std::function<std::unique_ptr<scheduler>()> make_scheduler;
    /// Returns the given number of cryptographically random bytes, for keys and
    /// names.
    std::function<std::string(std::size_t)> random_bytes;
};

} // namespace acaciastile
