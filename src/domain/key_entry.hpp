#pragma once

#include "domain/ids.hpp"

#include <string>

namespace acaciastile
{

/// Operations that a key permits.
enum class key_right
{
    caller,  ///< Submit, query and cancel jobs of its team.
    operate, ///< Publish inventory and rules, grant and withdraw
             ///< keys, drain workers and dump state.
};

/// The published part of a key: a salted hash in place of the secret, which
/// only the holder keeps. A presented key has the form `id.secret`.
struct key_entry
{
    key_id id;
    team_name team; ///< Empty for an operator's key.
    key_right right = key_right::caller;
    std::string salt_hex;
    std::string hash_hex; ///< SHA-256 of salt bytes, then secret text.

    [[nodiscard]] bool operator==(const key_entry&) const = default;
};

} // namespace acaciastile
