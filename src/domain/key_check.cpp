#include "domain/key_check.hpp"

#include <array>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <optional>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::size_t digest_bytes = 32;
constexpr std::string_view hex_digits = "0123456789abcdef";

using digest = std::array<std::uint8_t, digest_bytes>;

/// Overwrites a secret with zeros at the end of the scope.
class wipe_guard
{
public:
    explicit wipe_guard(std::string& secret) : secret_(secret) {}
    ~wipe_guard() { gnutls_memset(secret_.data(), 0, secret_.size()); }
    wipe_guard(const wipe_guard&) = delete;
    wipe_guard& operator=(const wipe_guard&) = delete;

private:
    std::string& secret_;
};

std::string to_hex(std::span<const std::uint8_t> bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (std::uint8_t byte : bytes)
    {
        text.push_back(hex_digits[byte >> 4]);
        text.push_back(hex_digits[byte & 0x0f]);
    }
    return text;
}

/// Empty if the text is not pairs of lower-case hexadecimal digits.
std::optional<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t index = 0; index < text.size(); index += 2)
    {
        std::size_t high = hex_digits.find(text[index]);
        std::size_t low = hex_digits.find(text[index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
        {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>(high << 4 | low));
    }
    return bytes;
}

/// SHA-256 of the salt's bytes followed by the secret's text. Empty if GnuTLS
/// fails.
std::optional<digest>
hash_secret(std::string_view salt, std::string_view secret)
{
    std::string input(salt);
    input += secret;
    wipe_guard wipe(input);
    digest computed{};
    int code = gnutls_hash_fast(
        GNUTLS_DIG_SHA256, input.data(), input.size(), computed.data());
    if (code != GNUTLS_E_SUCCESS)
    {
        return std::nullopt;
    }
    return computed;
}

std::string_view as_text(std::span<const std::uint8_t> bytes)
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

} // namespace

result<generated_key> generate_key(
    key_id id,
    team_name team,
    key_right right,
    std::span<const std::uint8_t> random)
{
    if (id.empty() || id.str().find('.') != std::string::npos)
    {
        return refuse(
            refusal_code::invalid_value,
            "key id must not be empty or contain a dot");
    }
    if (random.size() != key_random_bytes)
    {
        return refuse(
            refusal_code::invalid_value, "wrong number of random bytes");
    }
    auto salt = random.first(key_salt_bytes);
    std::string secret = to_hex(random.last(key_secret_bytes));
    wipe_guard wipe(secret);
    auto hash = hash_secret(as_text(salt), secret);
    if (!hash)
    {
        return refuse(refusal_code::internal, "SHA-256 is not available");
    }
    generated_key generated;
    generated.presented = id.str() + "." + secret;
    generated.entry.id = std::move(id);
    generated.entry.team = std::move(team);
    generated.entry.right = right;
    generated.entry.salt_hex = to_hex(salt);
    generated.entry.hash_hex = to_hex(*hash);
    return generated;
}

result<key_parts> split_key(std::string_view text)
{
    std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == text.size())
    {
        return refuse(
            refusal_code::unauthenticated, "key must have the form id.secret");
    }
    return key_parts{
        key_id(std::string(text.substr(0, dot))),
        std::string(text.substr(dot + 1))};
}

bool verify_key(std::string_view text, const key_entry& entry)
{
    auto parts = split_key(text);
    if (!parts)
    {
        return false;
    }
    wipe_guard wipe(parts->secret);
    auto salt = from_hex(entry.salt_hex);
    auto expected = from_hex(entry.hash_hex);
    if (!salt || !expected || expected->size() != digest_bytes)
    {
        return false;
    }
    auto hash = hash_secret(*salt, parts->secret);
    if (!hash)
    {
        return false;
    }
    bool same_hash =
        gnutls_memcmp(hash->data(), expected->data(), digest_bytes) == 0;
    return same_hash && parts->id == entry.id;
}

} // namespace acaciastile
