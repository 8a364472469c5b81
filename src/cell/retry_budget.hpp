#pragma once

#include "domain/instant.hpp"

namespace acaciastile
{

struct retry_budget_settings
{
    double per_call = 0.1; ///< Retries earned by each first call.
    double floor = 10.0;   ///< Held at the start, and the least refill target.
    double cap = 100.0;    ///< Most that can be saved up.
    double per_second = 1.0; ///< Earned by time alone, up to the floor.
};

/// Bounds retries to a part of the first calls, so that an outage is not
/// followed by a storm of them.
class retry_budget
{
public:
    [[nodiscard]] static retry_budget
    create(retry_budget_settings settings, instant now);

    void first_call(instant now) noexcept;
    /// Takes one retry; false where the budget is spent.
    [[nodiscard]] bool take_retry(instant now) noexcept;
    [[nodiscard]] double left() const noexcept { return left_; }

private:
    void refill(instant now) noexcept;

    retry_budget_settings settings_;
    double left_ = 0;
    instant refilled_at_{};
};

} // namespace acaciastile
