#pragma once

#include <string_view>

namespace acaciastile
{

/// Whether a request, or the call that carried it, may have taken effect. It is
/// the only input to retry decisions.
enum class verdict
{
    not_run,      ///< Known to have had no effect.
    may_have_run, ///< Unknown whether it had an effect.
    ran           ///< Known to have taken effect.
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
