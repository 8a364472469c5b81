#pragma once

#include "cli/serve_settings.hpp"
#include "domain/error.hpp"

#include <string>
#include <vector>

namespace acaciastile
{

/// The settings of a file, or every error in it.
struct settings_outcome
{
    serve_settings settings; ///< Only of use where there is no error.
    std::vector<error> errors;
};

/// Reads settings: JSON with comments. All errors are found in one pass, each
/// with the place, the path, what was found and what is allowed.
[[nodiscard]] settings_outcome
read_settings(const std::string& text, const std::string& file);

/// Reads them from a file. One that cannot be read is an error as well.
[[nodiscard]] settings_outcome read_settings_file(const std::string& file);

/// `FILE:LINE:COLUMN: message`, without what is not known.
[[nodiscard]] std::string describe(const error& wrong);

} // namespace acaciastile
