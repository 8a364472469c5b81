#pragma once

#include "domain/ids.hpp"
#include "domain/resources.hpp"

#include <string>

namespace acaciastile
{

/// One worker as listed in the operators' inventory.
struct worker_entry
{
    worker_id id;
    data_centre_name data_centre;
    rack_name rack;
    std::string address; ///< IPv4 address and port, `a.b.c.d:port`.
    resources capacity;

    [[nodiscard]] bool operator==(const worker_entry&) const = default;
};

} // namespace acaciastile
