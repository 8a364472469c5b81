#pragma once

#include "domain/ids.hpp"

#include <string>

namespace acaciastile
{

/// The latest claim on a shard, as folded from the log.
struct shard_claim
{
    instance_id owner;
    std::string owner_address;
    shard_epoch epoch = 0;
    bool released = false; ///< The owner released it; it has no owner now.
    instance_id successor; ///< Named by the release; may be empty.

    [[nodiscard]] bool operator==(const shard_claim&) const = default;
};

} // namespace acaciastile
