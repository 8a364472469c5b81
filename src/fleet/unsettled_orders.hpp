#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "fleet/job.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <vector>

namespace acaciastile::fleet
{

/// Start orders that a worker may still carry out because no answer to them has
/// arrived, whether or not their runs are still recorded. An order may also be
/// carried out by a later incarnation of its worker, which does not know what
/// the earlier one has refused, stopped or ended. Entries expire.
///
/// Covers the orders of this owner only. Those of an earlier owner are rejected
/// by their token once an incarnation is sealed; one that arrives between the
/// start of the incarnation and its first status poll is carried out.
class unsettled_order_table
{
public:
    /// How long after it was sent an order may be carried out. The platform's
    /// protocol says "seconds later"; its bench holds orders back by 2 to 12 s.
    static constexpr milliseconds longest_delay{15'000};

    /// Records an order that is being sent.
    void add(const worker_id& worker, const run_ref& run, instant sent_at);
    /// Removes an order that was answered or not sent.
    void settle(const worker_id& worker, const run_ref& run, instant sent_at);

    /// True if an order for the run may still be carried out.
    [[nodiscard]] bool
    contains(const worker_id& worker, const run_ref& run, instant now) const;
    /// The runs of all orders that the worker may still carry out, each once.
    [[nodiscard]] std::vector<run_ref>
    of(const worker_id& worker, instant now) const;
    /// Number of orders kept, expired ones included.
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct order
    {
        run_ref run;
        instant sent_at{};

        [[nodiscard]] bool operator==(const order&) const = default;
    };
    struct sent_order
    {
        worker_id worker;
        order what;
    };

    void drop_expired(instant now);
    void erase(const worker_id& worker, const order& what);

    absl::flat_hash_map<worker_id, std::vector<order>> orders_;
    std::deque<sent_order> by_age_; ///< Includes settled orders.
};

} // namespace acaciastile::fleet
