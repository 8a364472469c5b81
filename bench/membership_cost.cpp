#include "support/membership_load.hpp"

#include <cstdio>

/// Prints what membership costs a member at rising numbers of members.
int main()
{
    using namespace acaciastile::bench;
    constexpr std::uint64_t seed = 1;
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    std::printf(
        "%8s %9s %9s %10s %8s %10s %10s %8s %9s %6s\n",
        "members",
        "bytes/s",
        "msgs/s",
        "cpu us/s",
        "join s",
        "detect p50",
        "detect max",
        "heal s",
        "heal B/s",
        "wrong");
    for (std::size_t members : {9, 18, 81, 216})
    {
        const membership_cost cost = measure_membership(members, seed);
        std::printf(
            "%8zu %9.0f %9.2f %10.1f %8.2f %10.2f %10.2f %8.2f %9.0f %6llu\n",
            cost.members,
            cost.bytes_per_second,
            cost.messages_per_second,
            cost.cpu_per_second * 1e6,
            static_cast<double>(cost.join.count()) / 1e3,
            static_cast<double>(cost.detection_median.count()) / 1e3,
            static_cast<double>(cost.detection_most.count()) / 1e3,
            static_cast<double>(cost.heal.count()) / 1e3,
            cost.heal_bytes_per_second,
            static_cast<unsigned long long>(cost.wrong_deaths));
    }
    return 0;
}
