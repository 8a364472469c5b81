#pragma once

#include "policy/decision_state.hpp"

namespace acaciastile::impl
{

/// Whether a job could ever run here, and why it waits, from the tables that
/// the decisions use.
class explainer
{
public:
    explicit explainer(const decision_state& state) : state_(state) {}

    /// Errors: `can_never_run`.
    [[nodiscard]] result<void> judge(const job_request& request) const;
    /// Errors: `unknown_job`.
    [[nodiscard]] result<explanation> explain(const job_id& job) const;

private:
    [[nodiscard]] std::size_t place_in_queue(job_slot slot) const;
    [[nodiscard]] explanation explain_wait(job_slot slot) const;

    const decision_state& state_;
};

} // namespace acaciastile::impl
