#pragma once

#include "domain/ids.hpp"

#include <string>

namespace acaciastile
{

/// What a key lets its holder do.
enum class key_right
{
    caller,  ///< Submit, ask and cancel for its team.
    operate, ///< Publish, grant, withdraw, drain and dump.
};

/// A granted key as published: the secret itself never leaves the caller.
/// A presented key has the form `id.secret`.
struct key_entry
{
    key_id id;
    team_name team; ///< Empty for an operator's key.
    key_right right = key_right::caller;
    std::string salt_hex;
    std::string hash_hex; ///< SHA-256 over salt bytes, then secret bytes.

    [[nodiscard]] bool operator==(const key_entry&) const = default;
};

} // namespace acaciastile
