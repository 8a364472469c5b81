#pragma once

#include "policy/decision_state.hpp"
#include "policy/fair_scheduler_settings.hpp"
#include "policy/placer.hpp"
#include "policy/preemptor.hpp"
#include "policy/reservations.hpp"
#include "policy/scheduler.hpp"

#include <memory>

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
    explicit fair_scheduler(fair_scheduler_settings settings);

    impl::decision_state state_;
    impl::reservations reservations_;
    impl::preemptor preemptor_;
    impl::placer placer_;
};

} // namespace acaciastile
