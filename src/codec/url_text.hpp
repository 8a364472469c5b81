#pragma once

#include <string>
#include <string_view>

namespace acaciastile
{

/// Percent-encodes a text of any bytes for one part of a path or of a query.
/// Letters, digits and `-._~` stay as they are.
[[nodiscard]] std::string escape_url(std::string_view text);

} // namespace acaciastile
