#pragma once

#include <string>

namespace acaciastile
{

/// The page docs/operators/settings.md, made from the table of settings.
[[nodiscard]] std::string write_settings_page();

} // namespace acaciastile
