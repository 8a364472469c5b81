#pragma once

#include "policy/fair_scheduler_settings.hpp"
#include "policy/job_table.hpp"
#include "policy/scheduler.hpp"
#include "policy/team_ledger.hpp"
#include "policy/worker_pool.hpp"

#include <absl/container/btree_set.h>

#include <array>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

namespace acaciastile
{

/// Weighted dominant-resource fair share between teams, urgent and status
/// work before all other, gangs placed whole.
class fair_scheduler final : public scheduler
{
public:
    [[nodiscard]] static std::unique_ptr<scheduler>
    create(fair_scheduler_settings settings);

    void set_rules(const rules& in_force) override;
    void set_worker(const worker_entry& worker) override;
    void set_worker_state(const worker_id& id, worker_state state) override;
    void remove_worker(const worker_id& id) override;
    void set_allowance(const team_name& team, const resources& amount) override;
    void enqueue(const job_request& request) override;
    void withdraw(const job_id& job) override;
    void occupy(
        const job_request& job,
        std::uint32_t index,
        const worker_id& worker) override;
    void end(const task_id& task, const task_end& how) override;
    void set_usage(const task_id& task, const resources& usage) override;
    [[nodiscard]] decisions decide(instant now, std::size_t limit) override;
    [[nodiscard]] result<void> judge(const job_request& request) const override;
    [[nodiscard]] result<explanation> explain(const job_id& job) const override;
    [[nodiscard]] resources usage_of(const team_name& team) const override;
    [[nodiscard]] resources demand_of(const team_name& team) const override;

private:
    /// Order of a team's jobs: by time of queueing.
    using queue_key = std::tuple<instant, std::uint64_t, impl::job_slot>;
    using team_queue = absl::btree_set<queue_key>;
    using share_key = std::pair<double, impl::team_slot>;

    explicit fair_scheduler(fair_scheduler_settings settings);

    [[nodiscard]] queue_key key_of(impl::job_slot slot) const;
    [[nodiscard]] team_queue&
    queue_of(impl::queue_tier tier, impl::team_slot team);
    [[nodiscard]] impl::job_slot open_job(const job_request& request);
    void drop_if_idle(impl::job_slot slot);
    void place(
        impl::job_slot slot,
        std::uint32_t index,
        impl::worker_slot worker,
        decisions& made);
    [[nodiscard]] bool place_gang(impl::job_slot slot, decisions& made);
    [[nodiscard]] bool place_one(impl::job_slot slot, decisions& made);
    [[nodiscard]] bool place_next(
        impl::queue_tier tier,
        impl::team_slot team,
        std::size_t limit,
        decisions& made);
    void decide_tier(impl::queue_tier tier, std::size_t limit, decisions& made);
    [[nodiscard]] std::size_t place_in_queue(impl::job_slot slot) const;
    [[nodiscard]] explanation explain_wait(impl::job_slot slot) const;

    fair_scheduler_settings settings_;
    rules rules_;
    impl::worker_pool workers_;
    impl::team_ledger teams_;
    impl::job_table jobs_;
    std::array<std::vector<team_queue>, impl::queue_tiers> queues_;
    instant now_{};
};

} // namespace acaciastile
