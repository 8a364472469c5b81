#pragma once

#include "domain/instant.hpp"
#include "domain/resources.hpp"
#include "policy/slots.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace acaciastile::impl
{

using run_group = std::uint32_t;

/// Estimates run time and resource usage per team and job name.
class run_estimates
{
public:
    /// Number of recent runs kept for each group.
    static constexpr std::size_t history_length = 16;
    /// Runs required before an estimate is reported.
    static constexpr std::size_t min_samples = 5;
    /// Maximum number of groups; further job names get no estimates.
    static constexpr std::size_t max_groups = 20'000;

    /// Returns the group of a team and job name, creating it if needed;
    /// `no_slot` if the table is full. In use until `release`.
    [[nodiscard]] run_group acquire(team_slot team, const std::string& name);
    void release(run_group group);

    void record_duration(run_group group, milliseconds duration);
    /// Records a measured peak; ignores peaks with a zero amount.
    void record_usage(run_group group, const resources& peak);

    struct duration_estimate
    {
        bool known = false;
        milliseconds median{0};  ///< Median of the remembered runs.
        milliseconds longest{0}; ///< Longest of the remembered runs.
    };
    [[nodiscard]] duration_estimate duration_of(run_group group) const;

    struct usage_estimate
    {
        bool known = false;
        resources peak; ///< Largest of the remembered peaks, each amount.
    };
    [[nodiscard]] usage_estimate usage_estimate_of(run_group group) const;

private:
    using group_key = std::pair<team_slot, std::string>;

    struct history
    {
        group_key key;
        std::uint32_t users = 0;
        std::array<std::int64_t, history_length> durations_ms{};
        std::array<std::int64_t, history_length> milli_processors{};
        std::array<std::int64_t, history_length> memory_mib{};
        std::size_t runs = 0;
        std::size_t sizes = 0;
        duration_estimate duration;
        usage_estimate usage;
    };

    [[nodiscard]] run_group allocate_group();

    std::vector<history> groups_;
    absl::flat_hash_map<group_key, run_group> by_key_;
    std::size_t clock_hand_ = 0;
};

} // namespace acaciastile::impl
