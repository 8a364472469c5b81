#include "fleet/ports.hpp"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <charconv>

namespace acaciastile::fleet
{

log_offset first_kept(const error& expired, log_offset fallback) noexcept
{
    const std::string& text = expired.message;
    std::from_chars(text.data(), text.data() + text.size(), fallback);
    return fallback;
}

bool is_worker_key(std::string_view key) noexcept
{
    constexpr std::size_t max_bytes = 128;
    return !key.empty() && key.size() <= max_bytes &&
           std::all_of(
               key.begin(),
               key.end(),
               [](char each) {
                   return absl::ascii_isgraph(static_cast<unsigned char>(each));
               });
}

} // namespace acaciastile::fleet
