#pragma once

#include "domain/instant.hpp"
#include "fleet/worker_set.hpp"

#include <cstdint>
#include <optional>

namespace acaciastile::fleet
{

/// The start orders of one step that workers rejected as malformed. A first
/// rejection may be the fault of its worker. If another worker rejects an order
/// too, or the same one does so later, the orders themselves count as wrong:
/// every worker would reject them, so the step pauses, for longer each time.
/// Does no I/O.
class rejected_orders
{
public:
    /// Records a rejection by a worker that then gets no starts for
    /// `worker_pause`. Returns true if it makes the step pause.
    bool note(worker_handle worker, milliseconds worker_pause, instant now);

    /// True if the orders of the step, not one worker, count as wrong.
    [[nodiscard]] bool are_orders_wrong() const noexcept { return pauses_ > 0; }
    [[nodiscard]] bool is_paused(instant now) const noexcept
    {
        return now < paused_until_;
    }
    /// Length of the latest pause.
    [[nodiscard]] milliseconds pause() const noexcept;
    /// Number of pauses since a worker last accepted an order.
    [[nodiscard]] std::uint32_t pauses() const noexcept { return pauses_; }

    /// Records that a worker accepted an order.
    void clear() noexcept { *this = {}; }

private:
    std::optional<worker_handle> first_; ///< Worker of the first rejection.
    instant first_paused_until_{};       ///< Its pause.
    instant paused_until_{};
    std::uint32_t pauses_ = 0;
};

} // namespace acaciastile::fleet
