#pragma once

#include "policy/scheduler.hpp"
#include "support/policy_outcome.hpp"
#include "support/policy_workload.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace acaciastile::bench
{

/// Measures how close each team comes to its share of what is taken: for each
/// task the larger of what was granted and what it truly uses. In each sample
/// the dominant shares of the backlogged teams are summed and split by weight;
/// a window counts for a team that is backlogged through all of it.
class share_windows
{
public:
    explicit share_windows(const workload& work);

    /// False where the team then holds more than its upper limit.
    [[nodiscard]] bool
    hold(std::uint32_t job, const resources& granted, const resources& used);
    void
    release(std::uint32_t job, const resources& granted, const resources& used);

    /// Returns whether an amount worth counting waits.
    [[nodiscard]] bool sample(const scheduler& deciding);

    void report(outcome& made) const;

private:
    struct team_window
    {
        double held = 0.0;
        double entitled = 0.0;
        std::size_t samples = 0;
        double error_sum = 0.0;
        double worst = 0.0;
        std::size_t windows = 0;
    };

    [[nodiscard]] double dominant(const resources& size) const;
    void close_windows();

    const workload& work_;
    resources total_;
    std::vector<std::uint32_t> team_of_job_;
    std::vector<resources> granted_;
    std::vector<resources> held_; ///< The larger of granted and used.
    std::vector<team_window> teams_;
    std::size_t samples_in_window_ = 0;
};

} // namespace acaciastile::bench
