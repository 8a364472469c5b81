#pragma once

#include "policy/decision_state.hpp"
#include "policy/reservations.hpp"

namespace acaciastile::impl
{

/// Checks whether a job can ever run here and explains why it waits, from the
/// state that the scheduler uses.
class explainer
{
public:
    explainer(const decision_state& state, const reservations& reserved)
        : state_(state), reserved_(reserved)
    {
    }

    /// Errors: `can_never_run`.
    [[nodiscard]] result<void> check_feasible(const job_request& request) const;
    /// Errors: `unknown_job`.
    [[nodiscard]] result<explanation> explain(const job_id& job) const;

private:
    [[nodiscard]] std::size_t place_in_queue(job_slot slot) const;
    [[nodiscard]] explanation explain_wait(job_slot slot) const;
    [[nodiscard]] explanation explain_no_placement(job_slot slot) const;

    const decision_state& state_;
    const reservations& reserved_;
};

} // namespace acaciastile::impl
