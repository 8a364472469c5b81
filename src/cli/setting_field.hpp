#pragma once

#include "cli/serve_settings.hpp"

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace acaciastile
{

enum class setting_type
{
    text,     ///< Any text that is not empty.
    address,  ///< `a.b.c.d:port`.
    duration, ///< A number with a unit of time, such as "250ms".
    size,     ///< A number with a unit of bytes, such as "1MiB".
    number,   ///< A whole number without a unit.
    choice    ///< One of the listed words.
};

/// A value that passed its field's check. Durations are in milliseconds, sizes
/// in bytes.
struct setting_value
{
    std::string text;
    std::int64_t number = 0;
};

/// One setting: how it is written, what is allowed and where it goes.
struct setting_field
{
    std::string path;
    setting_type type = setting_type::text;
    std::string text;    ///< For the page of settings.
    std::string initial; ///< As written in the file.
    bool required = false;
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
    std::vector<std::string> choices;
    std::function<void(serve_settings&, const setting_value&)> store;
};

/// Every setting of `acaciastile serve`, in the order of the page.
[[nodiscard]] const std::vector<setting_field>& setting_fields();

/// What the field allows, in words.
[[nodiscard]] std::string allowed_by(const setting_field& field);

} // namespace acaciastile
