#pragma once

#include "domain/instant.hpp"
#include "fleet/worker_set.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciastile::fleet
{

/// Why a step with permits is not started, the nearest to a start first.
enum class permit_wait
{
    at_cap,          ///< Its account has reached its cap.
    gang_incomplete, ///< The permitted workers do not hold all its members.
    on_trial,        ///< Waits for a worker on which nothing else just started.
    worker_full,     ///< The permitted workers lack free resources.
    reserved, ///< Reserved for a gang, or the step's limit there reached.
    worker_unusable, ///< Not sealed, unreachable, draining or in quarantine.
    worker_replaced, ///< The worker has restarted since it was allowed.
    expired          ///< All its permits have expired.
};

inline constexpr std::array<std::string_view, 8> permit_wait_names{
    "account at cap",
    "gang incomplete",
    "on trial",
    "worker full",
    "reserved",
    "worker unusable",
    "worker replaced",
    "expired"};

[[nodiscard]] constexpr std::string_view name_of(permit_wait reason) noexcept
{
    return permit_wait_names[static_cast<std::size_t>(reason)];
}

/// What the policy service of the queue has decided about one step.
struct step_permits
{
    /// A permit for one worker. Expired grants are kept: the policy is expected
    /// to allow the worker again.
    struct grant
    {
        worker_handle worker = 0;
        std::string ticket;
        instant until{};               ///< Expiry.
        std::uint64_t incarnation = 0; ///< Of the worker when it was allowed.
        /// The worker had no room for the step while the permit was valid.
        bool was_full = false;
    };
    std::vector<grant> allowed; ///< Ordered by worker.
    worker_set denied;
    bool request_in_flight = false;
    instant retry_not_before{}; ///< Set when a request has failed.
    /// Number of tasks that the last request was meant for.
    std::uint32_t requested_tasks = 0;
    /// The round of searches in which no worker was found to ask for; zero if
    /// the last search found one.
    std::uint64_t searched_in = 0;
    /// Workers of the request in flight.
    std::vector<worker_handle> requested_workers;
    /// The last answer allowed a worker, and no task has started since.
    bool is_unused = false;

    [[nodiscard]] const grant* find(worker_handle worker) const;
    /// Returns true if a grant has not expired.
    [[nodiscard]] bool has_usable(instant now) const;
    /// Adds or replaces the grant of its worker. Returns true if the worker was
    /// not allowed before.
    bool allow(grant granted);
    /// Makes the worker's grant count as expired.
    void expire(worker_handle worker);
};

} // namespace acaciastile::fleet
