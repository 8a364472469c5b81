#pragma once

#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/embedded_vm_list.hpp"
#include "platform/embedded/embedded_workers.hpp"

namespace acaciastile
{

/// Log, VM list and workers under one network.
struct stand_in_platform
{
    explicit stand_in_platform(
        timer_queue& timers,
        embedded_network_settings network_settings = {},
        embedded_log_settings log_settings = {})
        : network(timers, network_settings), log(network, log_settings)
    {
    }

    embedded_network network;
    embedded_log log;
    embedded_vm_list vms{network};
    embedded_workers workers{network};
};

} // namespace acaciastile
