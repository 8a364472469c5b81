#pragma once

#include "domain/ids.hpp"
#include "domain/key_entry.hpp"
#include "domain/result.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace acaciastile
{

/// Sizes of a key's salt and secret in bytes. One round of SHA-256 is enough,
/// because a secret of 256 random bits cannot be found by brute force.
inline constexpr std::size_t key_salt_bytes = 16;
inline constexpr std::size_t key_secret_bytes = 32;
inline constexpr std::size_t key_random_bytes =
    key_salt_bytes + key_secret_bytes;

/// A new key: the entry to publish and the full key for its holder.
struct generated_key
{
    key_entry entry;
    std::string presented; ///< `id.secret` with the secret in hexadecimal.
};

/// The two parts of a presented key, `id.secret`.
struct key_parts
{
    key_id id;
    std::string secret;
};

/// Generates a key from `key_random_bytes` random bytes. The caller supplies
/// them, so that tests can use a fixed sequence. Errors: `invalid_value` if the
/// id is empty or contains a dot, or for a wrong number of bytes; `internal` if
/// SHA-256 is not available.
[[nodiscard]] result<generated_key> generate_key(
    key_id id,
    team_name team,
    key_right right,
    std::span<const std::uint8_t> random);

/// Splits `id.secret` at the first dot. Errors: `unauthenticated`; the message
/// contains no part of the text, which may be a secret.
[[nodiscard]] result<key_parts> split_key(std::string_view text);

/// True if the text consists of this key's id and secret. Hashes are compared
/// in constant time, so that timing reveals nothing about the secret.
[[nodiscard]] bool verify_key(std::string_view text, const key_entry& entry);

} // namespace acaciastile
