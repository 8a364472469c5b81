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

/// Learns what the runs of one team under one job name really need.
class run_estimates
{
public:
    /// Runs remembered for each group.
    static constexpr std::size_t runs_remembered = 16;
    /// Runs seen before an estimate is given.
    static constexpr std::size_t runs_needed = 5;
    /// Groups remembered; jobs of further names are not learnt.
    static constexpr std::size_t groups_remembered = 20'000;

    /// The group of a team and a job name, made where there is none; `no_slot`
    /// where there are too many. Held until `release`.
    [[nodiscard]] run_group hold(team_slot team, const std::string& name);
    void release(run_group group);

    void learn_run(run_group group, milliseconds ran);
    /// Takes note of a measured peak; zero amounts are not measurements.
    void learn_size(run_group group, const resources& peak);

    struct run_estimate
    {
        bool known = false;
        milliseconds typical{0}; ///< Median of the remembered runs.
        milliseconds longest{0}; ///< Longest of the remembered runs.
    };
    [[nodiscard]] run_estimate run_of(run_group group) const;

    struct size_estimate
    {
        bool known = false;
        resources peak; ///< Largest of the remembered peaks, each amount.
    };
    [[nodiscard]] size_estimate size_of(run_group group) const;

private:
    using group_key = std::pair<team_slot, std::string>;

    struct history
    {
        group_key key;
        std::uint32_t holders = 0;
        std::array<std::int64_t, runs_remembered> runs_ms{};
        std::array<std::int64_t, runs_remembered> milli_processors{};
        std::array<std::int64_t, runs_remembered> memory_mib{};
        std::size_t runs = 0;
        std::size_t sizes = 0;
        run_estimate run;
        size_estimate size;
    };

    [[nodiscard]] run_group make_room();

    std::vector<history> groups_;
    absl::flat_hash_map<group_key, run_group> by_key_;
    std::size_t hand_ = 0;
};

} // namespace acaciastile::impl
