#pragma once

#include "domain/verdict.hpp"

namespace acaciastile
{

/// How a subcommand ended; docs/operators/command-line.md lists the same.
enum class exit_status
{
    done = 0,        ///< What was asked for was done.
    refused = 1,     ///< Refused, or the server was not reached: not run.
    wrong_usage = 2, ///< The command line was wrong: nothing was sent.
    unknown = 3,     ///< It may have run; ask for the status.
    ended_badly = 4, ///< The job or request ran and did not succeed.
    wrong_input = 5, ///< A settings, inventory or rules file is wrong.
    wrong_sums = 6,  ///< `dev` or `load` found counts that do not add up.
    // `check-config` has statuses of its own.
    check_warned = 1, ///< The document is valid, with warnings.
    check_failed = 2  ///< It has errors, or could not be compared.
};

/// The status for a call that failed with this verdict.
[[nodiscard]] constexpr exit_status status_of(verdict effect) noexcept
{
    return effect == verdict::not_run ? exit_status::refused
                                      : exit_status::unknown;
}

} // namespace acaciastile
