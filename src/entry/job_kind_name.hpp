#pragma once

#include "domain/job_spec.hpp"

#include <string_view>

namespace acaciastile
{

/// The name of a kind of job in documents and answers.
[[nodiscard]] constexpr std::string_view name_of(job_kind kind) noexcept
{
    switch (kind)
    {
    case job_kind::service:
        return "service";
    case job_kind::batch:
        return "batch";
    case job_kind::gang:
        return "gang";
    case job_kind::request:
        return "request";
    }
    return "unknown";
}

} // namespace acaciastile
