#pragma once

#include "platform/embedded/embedded_log.hpp"
#include "platform/embedded/run_journal.hpp"

#include <cstddef>
#include <string>

namespace acaciastile
{

/// The entries of a journal from an index on, at most `limit`, as one JSON
/// object: `entries`, and in `next` the index to go on from.
[[nodiscard]] std::string
journal_text(const run_journal& journal, std::size_t from, std::size_t limit);

/// What the stand-in log has done, as a JSON object.
[[nodiscard]] std::string counts_text(const embedded_log_counts& counts);

} // namespace acaciastile
