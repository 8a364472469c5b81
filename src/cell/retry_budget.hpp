#pragma once

#include "domain/instant.hpp"

namespace acaciastile
{

struct retry_budget_settings
{
    double per_call = 0.1; ///< Retries added by each first call.
    double floor =
        10.0; ///< Initial budget, and the limit of the refill by time.
    double cap = 100.0;      ///< Upper bound of the budget.
    double per_second = 1.0; ///< Retries added by time, up to the floor.
};

/// Limits retries to a fraction of the first calls, so that an outage does not
/// cause a retry storm.
class retry_budget
{
public:
    [[nodiscard]] static retry_budget
    create(retry_budget_settings settings, instant now);

    /// Adds the retries that one first call earns.
    void first_call(instant now) noexcept;
    /// Takes one retry from the budget; false if less than one is left.
    [[nodiscard]] bool take_retry(instant now) noexcept;
    [[nodiscard]] double left() const noexcept { return left_; }

private:
    void refill(instant now) noexcept;

    retry_budget_settings settings_;
    double left_ = 0;
    instant refilled_at_{};
};

} // namespace acaciastile
