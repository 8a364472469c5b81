#include "fleet/rejected_orders.hpp"

#include <algorithm>

namespace acaciastile::fleet
{

namespace
{

constexpr milliseconds first_pause{500};
/// The first pause is doubled this often. An operator who has mended the cause
/// sees the job start within the longest pause, 8 s.
constexpr std::uint32_t most_doublings = 4;

} // namespace

bool rejected_orders::note(
    worker_handle worker, milliseconds worker_pause, instant now)
{
    if (is_paused(now))
    {
        return false; // Of an order that was sent before the pause.
    }
    if (!first_)
    {
        first_ = worker;
        first_paused_until_ = now + worker_pause;
        return false;
    }
    if (*first_ == worker && now < first_paused_until_)
    {
        return false;
    }
    ++pauses_;
    paused_until_ = now + pause();
    return true;
}

milliseconds rejected_orders::pause() const noexcept
{
    return pauses_ == 0
               ? milliseconds::zero()
               : first_pause * (1U << std::min(pauses_ - 1, most_doublings));
}

} // namespace acaciastile::fleet
