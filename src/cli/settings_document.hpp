#pragma once

#include "domain/error.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace acaciastile
{

/// One value of a settings file that is no object, and where it stands.
struct settings_leaf
{
    std::string path; ///< Names joined by points.
    nlohmann::json value;
    source_position position;
};

/// A settings file as it was read: JSON with comments.
struct settings_document
{
    std::vector<settings_leaf> leaves;
    /// Syntax errors and names that stand twice.
    std::vector<error> errors;
    bool complete = false; ///< False where reading stopped at an error.

    /// Never fails: what is wrong is in `errors`.
    [[nodiscard]] static settings_document
    parse(const std::string& text, const std::string& file);
};

} // namespace acaciastile
