#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "net/http_types.hpp"

#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// Settings of an edge process: its VM, its network and its time limits.
struct edge_settings
{
    instance_id vm;
    data_centre_name data_centre;
    net::endpoint front;     ///< Listens for callers.
    net::endpoint readiness; ///< Listens for the load balancer's checks.
    std::string address;     ///< Host address of this VM.
    std::uint16_t peer_port = 0;
    net::endpoint store;
    net::endpoint policy;         ///< Port zero means no policy service.
    double cores = 0.25;          ///< Processor cores available to the process.
    double link_mbps = 100;       ///< Bandwidth of this VM's network link.
    std::size_t memory_mib = 256; ///< Memory available to the process.
    std::size_t descriptors = 4'096; ///< That the process may have open.

    milliseconds grace{6'000};          ///< From the stop signal to the kill.
    milliseconds config_bound{2'000};   ///< Maximum age of the configuration.
    milliseconds longest_lease{10'000}; ///< Upper bound on workers' leases.
    milliseconds status_kept{120'000};  ///< How long ended jobs are kept.
    std::size_t request_bytes = 2U << 20U; ///< Maximum size of an append.
};

} // namespace acaciastile::fleet
