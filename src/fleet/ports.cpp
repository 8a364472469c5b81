#include "fleet/ports.hpp"

#include <charconv>

namespace acaciastile::fleet
{

log_offset first_kept(const error& expired, log_offset fallback) noexcept
{
    const std::string& text = expired.message;
    std::from_chars(text.data(), text.data() + text.size(), fallback);
    return fallback;
}

} // namespace acaciastile::fleet
