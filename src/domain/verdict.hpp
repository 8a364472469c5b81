#pragma once

#include <string_view>

namespace acaciastile
{

/// Says whether a request, or the call that carried it, may have had an effect.
/// Retry decisions read this value and nothing else.
enum class verdict
{
    not_run,      ///< Proven to have had no effect.
    may_have_run, ///< The effect is unknown.
    ran           ///< Proven to have had its effect.
};

[[nodiscard]] constexpr std::string_view to_string(verdict value) noexcept
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "unknown";
}

} // namespace acaciastile
