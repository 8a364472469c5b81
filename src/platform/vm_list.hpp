#pragma once

#include "domain/ids.hpp"
#include "platform/completion.hpp"

#include <string>
#include <vector>

namespace acaciastile
{

/// What a VM of the list is used for.
enum class vm_role
{
    entry, ///< Runs an instance of this system.
    worker ///< Runs tasks.
};

/// One VM as the platform lists it. For a worker VM `name` is the worker's
/// id, for an entry VM the instance's id.
struct vm_entry
{
    std::string name;
    vm_role role = vm_role::worker;
    data_centre_name data_centre;
    std::string address; ///< `a.b.c.d:port`.
    bool leaving = false;
};

/// The platform's list of live and leaving VMs. It lags and may be wrong: an
/// absent VM is no proof that it has ended.
class vm_list
{
public:
    virtual ~vm_list() = default;
    virtual void fetch(completion<std::vector<vm_entry>> done) = 0;
};

} // namespace acaciastile
