#include "cell/retry_budget.hpp"

#include <algorithm>

namespace acaciastile
{

retry_budget retry_budget::create(retry_budget_settings settings, instant now)
{
    retry_budget made;
    made.settings_ = settings;
    made.left_ = std::min(settings.floor, settings.cap);
    made.refilled_at_ = now;
    return made;
}

void retry_budget::refill(instant now) noexcept
{
    if (now <= refilled_at_)
    {
        return;
    }
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    const double target = std::min(settings_.floor, settings_.cap);
    if (left_ < target)
    {
        left_ = std::min(target, left_ + passed.count() * settings_.per_second);
    }
}

void retry_budget::first_call(instant now) noexcept
{
    refill(now);
    left_ = std::min(settings_.cap, left_ + settings_.per_call);
}

bool retry_budget::take_retry(instant now) noexcept
{
    refill(now);
    if (left_ < 1.0)
    {
        return false;
    }
    left_ -= 1.0;
    return true;
}

} // namespace acaciastile
