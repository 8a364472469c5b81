#pragma once

#include "cli/command.hpp"
#include "domain/job_spec.hpp"
#include "domain/result.hpp"

#include <string>

namespace acaciastile
{

/// The body of a submission: the file that is named, or what the flags say.
/// Errors: `invalid_value` naming the flag.
[[nodiscard]] result<std::string>
job_body(const command_arguments& arguments, job_kind kind);

} // namespace acaciastile
