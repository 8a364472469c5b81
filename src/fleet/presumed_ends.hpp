#pragma once

#include "domain/instant.hpp"
#include "fleet/job.hpp"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace acaciastile::fleet
{

/// Why a run was recorded as over although its worker has not reported its end.
enum class presumed_end : std::uint8_t
{
    withdrawn,        ///< Its start order was refused or not sent.
    worker_restarted, ///< It belonged to an earlier incarnation.
    worker_replaced,  ///< Another worker answers at its worker's address.
    lease_expired,
    not_listed ///< A status report of its worker did not list it.
};

/// Name of a reason, for logs and metrics.
[[nodiscard]] constexpr std::string_view name_of(presumed_end reason) noexcept
{
    constexpr std::array<std::string_view, 5> names{
        "withdrawn",
        "worker_restarted",
        "worker_replaced",
        "lease_expired",
        "not_listed"};
    return names[static_cast<std::size_t>(reason)];
}

/// Remembers, for a limited time, runs that were recorded as over without a
/// report of their worker. A worker that lists one of them later shows that the
/// record was wrong. Decides nothing; for logs only.
class presumed_end_table
{
public:
    struct record
    {
        presumed_end reason{};
        instant at{};
    };

    void add(const run_ref& run, presumed_end reason, instant now)
    {
        drop_old(now);
        if (ends_.insert_or_assign(run, record{reason, now}).second)
        {
            order_.push_back({run, now});
        }
    }
    /// Removes and returns the record of a run, if there is one.
    [[nodiscard]] std::optional<record> take(const run_ref& run)
    {
        const auto at = ends_.find(run);
        if (at == ends_.end())
        {
            return std::nullopt;
        }
        const record found = at->second;
        ends_.erase(at);
        return found;
    }
    [[nodiscard]] std::size_t size() const noexcept { return ends_.size(); }

private:
    /// Twice the longest lease: by then nothing of the run is left.
    static constexpr milliseconds kept{20'000};
    static constexpr std::size_t max_records = 10'000;

    struct entry
    {
        run_ref run;
        instant at{};
    };

    void drop_old(instant now)
    {
        while (!order_.empty() &&
               (now - order_.front().at > kept || order_.size() >= max_records))
        {
            ends_.erase(order_.front().run);
            order_.pop_front();
        }
    }

    absl::flat_hash_map<run_ref, record> ends_;
    std::deque<entry> order_;
};

} // namespace acaciastile::fleet
