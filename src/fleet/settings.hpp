#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "net/http_types.hpp"

#include <string>
#include <vector>

namespace acaciastile::fleet
{

/// What one edge process is told about its VM and its surroundings.
struct edge_settings
{
    instance_id vm;
    data_centre_name data_centre;
    net::endpoint front;     ///< Where callers connect.
    net::endpoint readiness; ///< Where the balancer asks.
    std::string address;     ///< Of this VM.
    std::uint16_t peer_port = 0;
    net::endpoint store;
    net::endpoint policy;   ///< Port zero: there is no policy service.
    double cores = 0.25;    ///< Share of a processor core.
    double link_mbps = 100; ///< Of this VM's own link.

    milliseconds grace{6'000};        ///< From the stop signal to the kill.
    milliseconds config_bound{2'000}; ///< For a version to be in force.
    milliseconds longest_lease{10'000};
    milliseconds status_kept{120'000};
    std::size_t request_bytes = 2U << 20U; ///< Of one append.
};

} // namespace acaciastile::fleet
