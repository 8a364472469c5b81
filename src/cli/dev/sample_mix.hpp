#pragma once

#include "domain/job_spec.hpp"
#include "domain/work_class.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace acaciastile
{

/// Which key goes with a call of the mix.
enum class mix_key
{
    own,     ///< That of the job's team.
    none,    ///< No key.
    unknown, ///< One that was never granted.
    other    ///< That of another team.
};

/// One job or request of the sample mix.
struct mix_item
{
    job_spec spec;
    work_class policy = work_class::batch;
    mix_key key = mix_key::own;
    bool cancel = false; ///< Cancelled as soon as it is accepted.
};

/// A mix of both sites' work of about that many jobs and requests: services,
/// batch, gangs, requests with an answer, some that cannot be taken and some
/// that are cancelled. The same seed gives the same mix.
[[nodiscard]] std::vector<mix_item>
make_sample_mix(std::uint64_t seed, std::size_t size);

} // namespace acaciastile
