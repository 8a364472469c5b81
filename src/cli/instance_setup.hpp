#pragma once

#include "cell/instance_settings.hpp"
#include "cli/instance_tuning.hpp"
#include "domain/key_entry.hpp"

#include <optional>
#include <string>

namespace acaciastile
{

/// What makes one instance differ from the others.
struct instance_identity
{
    std::string name;
    data_centre_name data_centre;
    std::string address; ///< Where other instances and workers connect.
};

/// The settings of the control code. The id is the name with a random part,
/// new with every start.
[[nodiscard]] instance_settings make_instance_settings(
    const instance_identity& identity,
    const instance_tuning& tuning,
    std::optional<key_entry> bootstrap_key);

/// The ports that are the same in every process: scheduler and random bytes.
[[nodiscard]] instance_ports make_common_ports();

} // namespace acaciastile
