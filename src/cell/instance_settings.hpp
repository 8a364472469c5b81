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

/// How one instance runs.
struct instance_settings
{
    /// Its id is new with every start of the process, so that a claim of an
    /// earlier start is never taken for its own.
    member self;
    std::string notify_address; ///< Where workers tell of ends.
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
    /// Keyed work is refused where neither the log nor a peer was heard for
    /// this long.
    milliseconds key_staleness{5'000};
    milliseconds submit_patience{8'000};
    milliseconds publish_patience{5'000};
    milliseconds peer_timeout{2'000};
    milliseconds release_patience{5'000};
    milliseconds shutdown_patience{20'000};
    milliseconds longest_deadline{10 * 60 * 1000};
    /// Appends a second to all shard streams of the cell together.
    std::size_t fleet_appends_per_second = 300;
    /// Taken as an operator's key until the first one is in the log.
    std::optional<key_entry> bootstrap_key;
};

/// The ways of an instance to the rest of the world; all outlive it.
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
    /// Gives that many unpredictable bytes, for keys and names.
    std::function<std::string(std::size_t)> random_bytes;
};

} // namespace acaciastile
