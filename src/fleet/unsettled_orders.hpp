#pragma once

#include "domain/ids.hpp"
#include "domain/instant.hpp"
#include "fleet/job.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <vector>

namespace acaciastile::fleet
{

/// Which incarnations of its worker may carry out an order that is late.
enum class order_reach : std::uint8_t
{
    one_incarnation, ///< It carries a permit, which is valid in one of them.
    any_incarnation
};

/// Start orders that a worker may still carry out because no answer to them has
/// arrived, whether or not their runs are still recorded. An order may also be
/// carried out by a later incarnation of its worker, which does not know what
/// the earlier one has refused, stopped or ended. Entries expire.
///
/// A task with an order that any incarnation may carry out is bound to the
/// order's worker: it may start again only there, and only on an incarnation
/// that rejects the order (`is_barred`). All such orders of a task are
/// therefore to one worker.
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

    /// Records an order that is being sent to an incarnation of a worker.
    void
    add(const worker_id& worker,
        const run_ref& run,
        instant sent_at,
        std::uint64_t incarnation = 0,
        order_reach reach = order_reach::one_incarnation);
    /// Records that the answer to an order is overdue.
    void note_unanswered(
        const worker_id& worker, const run_ref& run, instant sent_at);
    /// Removes an order that was answered or not sent.
    void settle(const worker_id& worker, const run_ref& run, instant sent_at);
    /// Drops the orders that can no longer be carried out.
    void drop_expired(instant now);

    /// True if an order for the run may still be carried out.
    [[nodiscard]] bool
    contains(const worker_id& worker, const run_ref& run, instant now) const;
    /// The runs of all orders that the worker may still carry out, each once.
    [[nodiscard]] std::vector<run_ref>
    of(const worker_id& worker, instant now) const;
    /// Number of orders kept, expired ones included.
    [[nodiscard]] std::size_t size() const noexcept;

    /// Records that an incarnation rejects orders for the run and for earlier
    /// runs of its task, as the run was stopped or has ended there.
    void note_barred(
        const worker_id& worker, const run_ref& run, std::uint64_t incarnation);
    /// Records that the lease in the run's orders has expired on the clock of
    /// the incarnation to which they were sent, so that it rejects them.
    void note_lease_expired(
        const worker_id& worker, const run_ref& run, std::uint64_t incarnation);

    /// True if the incarnation may still carry out an order for the run that
    /// any incarnation may carry out.
    [[nodiscard]] bool may_start_on(
        const worker_id& worker,
        const run_ref& run,
        std::uint64_t incarnation,
        instant now) const;

    /// The worker that a task is bound to, if it is bound.
    [[nodiscard]] std::optional<worker_id>
    bound_worker(const task_ref& task, instant now) const;
    /// True if the incarnation rejects every order to the worker by which the
    /// task is bound.
    [[nodiscard]] bool is_barred(
        const task_ref& task,
        const worker_id& worker,
        std::uint64_t incarnation,
        instant now) const;
    /// True if a task is bound to the worker by an order whose answer is
    /// overdue. Expired orders may count.
    [[nodiscard]] bool binds_to(const worker_id& worker) const;
    /// Number of tasks that are bound, also by orders in flight.
    [[nodiscard]] std::size_t bound_tasks() const noexcept
    {
        return bound_.size();
    }
    /// Number of orders that bind tasks and whose answers are overdue.
    [[nodiscard]] std::size_t unanswered() const noexcept
    {
        return unanswered_;
    }

    /// An order that a later incarnation than its own may have carried out.
    struct late_order
    {
        std::uint64_t incarnation = 0; ///< To which it was sent.
        instant sent_at{};
    };
    /// The last order for the run if all were sent to other incarnations of the
    /// worker.
    [[nodiscard]] std::optional<late_order> late_for(
        const worker_id& worker,
        const run_ref& run,
        std::uint64_t incarnation) const;

private:
    struct order
    {
        run_ref run;
        instant sent_at{};
        std::uint64_t incarnation = 0;
        order_reach reach = order_reach::one_incarnation;
        std::uint64_t barred_on = 0; ///< The last incarnation that rejects it.
        bool unanswered = false;     ///< Its answer is overdue.

        [[nodiscard]] bool binds(const task_ref& task, instant now) const
        {
            return reach == order_reach::any_incarnation && run.task == task &&
                   now - sent_at <= longest_delay;
        }
    };
    struct sent_order
    {
        worker_id worker;
        run_ref run;
        instant sent_at{};
    };
    struct binding
    {
        worker_id worker;
        std::uint32_t orders = 0;
    };

    void erase(const worker_id& worker, const run_ref& run, instant sent_at);

    absl::flat_hash_map<worker_id, std::vector<order>> orders_;
    absl::flat_hash_map<task_ref, binding> bound_;
    std::size_t unanswered_ = 0;
    std::deque<sent_order> by_age_; ///< Includes settled orders.
};

} // namespace acaciastile::fleet
