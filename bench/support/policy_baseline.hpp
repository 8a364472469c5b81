#pragma once

#include "policy/job_table.hpp"
#include "policy/scheduler.hpp"
#include "policy/team_ledger.hpp"
#include "policy/worker_pool.hpp"

#include <absl/container/btree_set.h>

#include <memory>
#include <tuple>

namespace acaciastile::bench
{

/// How a baseline picks the worker of a task.
enum class baseline_strategy
{
    first_fit,   ///< The first open worker with room, in order of listing.
    least_loaded ///< The open worker with the most free processors.
};

/// A FIFO queue; a job that does not fit is skipped for the rest of the call.
/// Respects capacities and allowances, but ignores work classes, shares,
/// estimates and worker faults.
class baseline_scheduler final : public scheduler
{
public:
    [[nodiscard]] static std::unique_ptr<scheduler>
    create(baseline_strategy strategy);

    void set_rules(const rules& in_force) override;
    void set_worker(const worker_entry& worker) override;
    void set_worker_state(const worker_id& id, worker_state state) override;
    void remove_worker(const worker_id& id) override;
    void set_allowance(const team_name& team, const resources& amount) override;
    void enqueue(const job_request& request) override;
    void withdraw(const job_id& job) override;
    void add_running(
        const job_request& job,
        std::uint32_t index,
        const worker_id& worker) override;
    void end(const task_id& task, const task_end& ended) override;
    void set_usage(const task_id& task, const resources& usage) override;
    [[nodiscard]] decisions decide(instant now, std::size_t limit) override;
    [[nodiscard]] result<void>
    check_feasible(const job_request& request) const override;
    [[nodiscard]] result<explanation> explain(const job_id& job) const override;
    [[nodiscard]] resources usage_of(const team_name& team) const override;
    [[nodiscard]] resources demand_of(const team_name& team) const override;

private:
    using queue_key = std::tuple<instant, std::uint64_t, impl::job_slot>;

    explicit baseline_scheduler(baseline_strategy strategy);

    [[nodiscard]] queue_key key_of(impl::job_slot slot) const;
    [[nodiscard]] impl::worker_slot pick(const resources& size) const;
    void run(impl::job_slot slot, std::uint32_t index, impl::worker_slot where);
    [[nodiscard]] bool
    place_job(impl::job_slot slot, std::size_t limit, decisions& decided);

    baseline_strategy strategy_;
    impl::worker_pool workers_;
    std::vector<impl::worker_slot> listed_;
    impl::team_ledger teams_;
    impl::job_table jobs_;
    absl::btree_set<queue_key> queue_;
    std::vector<resources> failed_sizes_;
};

} // namespace acaciastile::bench
