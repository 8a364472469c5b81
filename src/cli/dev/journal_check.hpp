#pragma once

#include "cli/dev/mix_result.hpp"
#include "platform/embedded/run_journal.hpp"

#include <cstddef>
#include <vector>

namespace acaciastile
{

/// What the workers' own journal says against the promises.
struct journal_findings
{
    std::size_t started = 0;
    std::size_t in_two_places = 0; ///< Starts of a task that already ran.
    std::size_t over_capacity = 0; ///< Starts that a worker could not hold.
    std::size_t run_again = 0;     ///< Second starts of what is not repeatable.

    [[nodiscard]] bool clean() const
    {
        return in_two_places + over_capacity + run_again == 0;
    }
};

[[nodiscard]] journal_findings check_journal(
    const std::vector<run_entry>& journal,
    const std::vector<mix_result>& results);

} // namespace acaciastile
