#pragma once

#include "site.hpp"

#include <map>
#include <string>

namespace review
{

/// A case: returns `rule_held`, `rule_broken` or `could_not_run`.
using case_function = int (*)(site&);

/// All cases by name.
const std::map<std::string, case_function>& all_cases();

} // namespace review
