#pragma once

#include "domain/inventory.hpp"

#include <string>

namespace acaciastile
{

/// Reads an asset register in CSV: a first line that names the columns `id`,
/// `data_centre`, `rack`, `address`, `processors`, `memory_gib` and, where
/// wanted, `accelerators`, in any order, then one worker a line. Fields stand
/// without quotes. Errors: `invalid_value` with the line and column.
[[nodiscard]] result<inventory>
import_register(const std::string& text, const std::string& file);

} // namespace acaciastile
