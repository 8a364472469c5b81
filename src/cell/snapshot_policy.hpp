#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace acaciastile
{

/// When a new snapshot of the cell's state is due. Each bound must be at most
/// half of the log's retention, so that a snapshot is replaced well before it
/// expires.
struct snapshot_policy
{
    std::uint64_t records = 10'000;   ///< Since the newest snapshot.
    milliseconds age{1'800'000};      ///< Of the newest snapshot.
    milliseconds unknown_age{60'000}; ///< Bound if its age is not known.
    /// Fraction of a bound by which each instance waits longer than the one
    /// before it in the order.
    double stagger = 0.5;
};

/// What an instance knows about the newest complete snapshot.
struct snapshot_need
{
    log_offset covered = 0; ///< By the newest snapshot; zero if none.
    log_offset applied = 0; ///< By this instance.
    bool at_head = false;   ///< This instance has applied all entries.
    /// True if the newest snapshot was published while this instance was
    /// following the index. Otherwise it may be about to expire.
    bool age_known = false;
    /// Time since the newest snapshot was published or, if that is not known,
    /// since this instance reached the head.
    milliseconds age{0};
    /// Zero-based position of this instance among the live ones.
    std::size_t rank = 0;
};

/// True if this instance should write a snapshot now. An old snapshot is
/// rewritten even if nothing has changed, because it expires like any entry.
/// The first instance in the order writes; the others take over after a longer
/// wait if no new snapshot is published.
[[nodiscard]] bool
due(const snapshot_need& need, const snapshot_policy& policy) noexcept;

} // namespace acaciastile
