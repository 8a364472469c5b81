#pragma once

#include "domain/ids.hpp"

#include <string>

namespace acaciastile
{

/// Who owns a shard, as folded from the log.
struct shard_claim
{
    instance_id owner;
    std::string owner_address;
    shard_epoch epoch = 0;
    bool released = false; ///< Given up: nobody acts for it now.
    instance_id successor; ///< Of a release; may be empty.

    [[nodiscard]] bool operator==(const shard_claim&) const = default;
};

} // namespace acaciastile
