#pragma once

#include "domain/job_spec.hpp"
#include "domain/key_entry.hpp"
#include "domain/verdict.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace acaciastile
{

/// Names of the enumerators in JSON documents, indexed by enumerator.
inline constexpr std::array<std::pair<job_kind, std::string_view>, 4>
    job_kind_names{{
        {job_kind::service, "service"},
        {job_kind::batch, "batch"},
        {job_kind::gang, "gang"},
        {job_kind::request, "request"},
    }};

inline constexpr std::array<std::pair<key_right, std::string_view>, 2>
    key_right_names{{
        {key_right::caller, "caller"},
        {key_right::operate, "operate"},
    }};

inline constexpr std::array<std::pair<verdict, std::string_view>, 3>
    verdict_names{{
        {verdict::not_run, "not_run"},
        {verdict::may_have_run, "may_have_run"},
        {verdict::ran, "ran"},
    }};

[[nodiscard]] constexpr std::string_view to_string(job_kind value) noexcept
{
    return job_kind_names[static_cast<std::size_t>(value)].second;
}

[[nodiscard]] constexpr std::string_view to_string(key_right value) noexcept
{
    return key_right_names[static_cast<std::size_t>(value)].second;
}

} // namespace acaciastile
