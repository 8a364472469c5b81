#pragma once

#include "cli/dev/sample_mix.hpp"
#include "domain/instant.hpp"
#include "domain/refusal_code.hpp"

#include <string>

namespace acaciastile
{

/// What became of one item of the mix, as its caller was told.
enum class mix_outcome
{
    refused,       ///< Not run, with a code.
    ran,           ///< All tasks ended.
    cancelled,     ///< By its caller.
    still_running, ///< Has running tasks at the end.
    waiting,       ///< Still waits at the end.
    unknown        ///< Its caller was told that it may have run.
};

struct mix_result
{
    mix_item item;
    mix_outcome outcome = mix_outcome::waiting;
    refusal_code code = refusal_code::internal; ///< Where refused.
    std::size_t failed_tasks = 0;
    std::string why; ///< It waits, where it does.
    instant sent{};
};

} // namespace acaciastile
