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

/// Bytes of a key's salt and of its secret. The secret is 256 random bits, so
/// that one round of SHA-256 is enough: there is nothing to guess.
inline constexpr std::size_t key_salt_bytes = 16;
inline constexpr std::size_t key_secret_bytes = 32;
inline constexpr std::size_t key_random_bytes =
    key_salt_bytes + key_secret_bytes;

/// A new key: its public entry and the text that only its holder gets.
struct generated_key
{
    key_entry entry;
    std::string presented; ///< `id.secret`, the secret in hexadecimal.
};

/// The two halves of a presented key.
struct key_parts
{
    key_id id;
    std::string secret;
};

/// Makes a key out of random bytes that the caller draws: the system's source
/// in a process, a seeded one in tests. Errors: `invalid_value` for an id
/// that is empty or holds a dot, or a wrong number of random bytes.
[[nodiscard]] result<generated_key> generate_key(
    key_id id,
    team_name team,
    key_right right,
    std::span<const std::uint8_t> random);

/// Splits `id.secret` at the first dot. Errors: `unauthenticated`; the
/// message never repeats any part of the text.
[[nodiscard]] result<key_parts> split_key(std::string_view text);

/// True where the text is this key's id and secret. The time does not depend
/// on how much of the secret is right.
[[nodiscard]] bool verify_key(std::string_view text, const key_entry& entry);

} // namespace acaciastile
