#pragma once

#include "cli/instance_tuning.hpp"
#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "domain/key_entry.hpp"
#include "entry/entry_service.hpp"
#include "observe/event_logger.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace acaciastile
{

/// All settings of `acaciastile serve`.
struct serve_settings
{
    std::string instance_name;
    data_centre_name data_centre;
    entry_settings entry;
    tls_files tls; ///< All empty: callers use plain HTTP.
    std::string platform_address;
    milliseconds platform_timeout{3'000};
    std::string bootstrap_id;
    std::string bootstrap_salt;
    std::string bootstrap_hash;
    instance_tuning tuning;
    milliseconds tick{20};
    log_settings log;
    milliseconds readiness_grace{3'000}; ///< From not ready to not listening.
    milliseconds shutdown_bound{30'000}; ///< For the answers in hand.

    /// The operator's key that is taken until one is in the log.
    [[nodiscard]] std::optional<key_entry> bootstrap_key() const;
};

} // namespace acaciastile
