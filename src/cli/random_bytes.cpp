#include "cli/random_bytes.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/string_view.h>
#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>
#include <stdexcept>

namespace acaciastile
{

std::vector<std::uint8_t> draw_random_bytes(std::size_t count)
{
    std::vector<std::uint8_t> bytes(count);
    if (gnutls_rnd(GNUTLS_RND_KEY, bytes.data(), bytes.size()) < 0)
    {
        throw std::runtime_error("the system gives no random bytes");
    }
    return bytes;
}

std::string draw_random_hex(std::size_t count)
{
    const auto bytes = draw_random_bytes(count);
    return absl::BytesToHexString(absl::string_view(
        reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

} // namespace acaciastile
