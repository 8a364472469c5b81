#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace acaciastile
{

/// When a new snapshot of the cell's state is due. Each bound must lie well
/// within what the log keeps; half of it at most.
struct snapshot_policy
{
    std::uint64_t records = 10'000;   ///< Since the newest snapshot.
    milliseconds age{1'800'000};      ///< Of the newest snapshot.
    milliseconds unknown_age{60'000}; ///< Allowed where its age is not known.
    double stagger = 0.5; ///< Part by which each next instance waits longer.
};

/// What an instance knows about the newest complete snapshot.
struct snapshot_need
{
    log_offset covered = 0; ///< By the newest snapshot; zero: there is none.
    log_offset applied = 0; ///< By this instance.
    bool at_head = false;   ///< This instance has folded all that there is.
    /// True where this instance saw the newest snapshot appear. An older one
    /// may be close to its end, as its age is not known.
    bool age_known = false;
    /// Since the newest snapshot appeared, or since this instance came to
    /// the head where its age is not known.
    milliseconds age{0};
    /// Place of this instance in the order of those alive, from zero.
    std::size_t rank = 0;
};

/// True where this instance should write one now. A snapshot is rewritten by
/// age even where nothing has changed, because it expires like any entry.
/// The first instance in the order writes; the next ones step in later if
/// none appears.
[[nodiscard]] bool
due(const snapshot_need& need, const snapshot_policy& policy) noexcept;

} // namespace acaciastile
