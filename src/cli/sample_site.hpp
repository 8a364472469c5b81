#pragma once

#include "domain/inventory.hpp"
#include "domain/rules.hpp"

#include <string>

namespace acaciastile
{

/// Whose sample is made.
enum class sample_site
{
    almaty, ///< 50 workers of 32 processors and 64 GiB, 4 data centres.
    lima,   ///< 50 workers of 16 processors and 64 GiB, 4 data centres.
    both,   ///< One cell with both of these.
    letter  ///< 23,000 workers with 41,000 accelerators in 24 data centres.
};

/// Errors: `invalid_value` for a name that is none of `almaty`, `lima`,
/// `both` and `letter`.
[[nodiscard]] result<sample_site> parse_sample_site(const std::string& name);

/// A sample inventory; every worker is reached at the given address.
[[nodiscard]] inventory
make_sample_inventory(sample_site site, const std::string& worker_address);

/// Sample rules: teams with shares and upper limits, and their queues.
[[nodiscard]] rules make_sample_rules(sample_site site);

} // namespace acaciastile
