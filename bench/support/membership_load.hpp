#pragma once

#include "domain/instant.hpp"

#include <chrono>
#include <cstdint>

namespace acaciastile::bench
{

/// What membership costs and how fast it sees, at one number of members.
struct membership_cost
{
    std::size_t members = 0;
    double bytes_per_second = 0;      ///< Bodies and method names sent by one.
    double messages_per_second = 0;   ///< Requests and replies sent by one.
    double cpu_per_second = 0;        ///< Processor seconds of one, a second.
    milliseconds join{0};             ///< From all starting to full lists.
    milliseconds detection_median{0}; ///< From a death to a survivor's list.
    milliseconds detection_most{0};
    milliseconds heal{0}; ///< From the end of a cut to full lists.
    /// Sent a second by the busiest member while the lists heal.
    double heal_bytes_per_second = 0;
    std::uint64_t wrong_deaths = 0;
};

/// Runs that many members for some minutes of a manual clock: the join, the
/// steady state, several deaths, and a cut of one ninth from the rest.
[[nodiscard]] membership_cost
measure_membership(std::size_t members, std::uint64_t seed);

} // namespace acaciastile::bench
