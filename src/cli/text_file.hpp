#pragma once

#include "domain/result.hpp"

#include <string>

namespace acaciastile
{

/// The whole content of a file; `-` stands for standard input. Errors:
/// `invalid_value`.
[[nodiscard]] result<std::string> read_text_file(const std::string& path);

/// Writes a file; `-` stands for standard output. Errors: `invalid_value`.
[[nodiscard]] result<void>
write_text_file(const std::string& path, const std::string& text);

} // namespace acaciastile
