#pragma once

#include "domain/instant.hpp"

#include <cstddef>

namespace acaciastile::bench::letter
{

/// The size that the system is designed for.
inline constexpr std::size_t workers = 23'000;
inline constexpr std::size_t accelerators = 41'000;
inline constexpr std::size_t jobs_a_day = 180'000;
inline constexpr std::size_t starts_a_second = 1'400; ///< At the peak.
inline constexpr std::size_t running_tasks = 140'000;
inline constexpr std::size_t teams = 650;
inline constexpr std::size_t data_centres = 24;
inline constexpr std::size_t instances = 216; ///< Nine a data centre.
inline constexpr std::size_t changes_a_day = 27'000;

inline constexpr std::size_t workers_in_rack = 6;
/// Keys of all teams; the letter gives none, three a team are taken.
inline constexpr std::size_t keys = 1'950;
inline constexpr std::size_t shards = 192;

inline constexpr double workers_an_instance =
    static_cast<double>(workers) / static_cast<double>(instances);
inline constexpr double tasks_a_worker =
    static_cast<double>(running_tasks) / static_cast<double>(workers);
inline constexpr double tasks_an_instance =
    static_cast<double>(running_tasks) / static_cast<double>(instances);
inline constexpr double tasks_a_job_running_at_once = 6;

} // namespace acaciastile::bench::letter
