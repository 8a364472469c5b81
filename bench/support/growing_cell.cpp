#include "support/growing_cell.hpp"

#include "support/letter_size.hpp"

namespace acaciastile::bench
{

void hold_allowances(
    growing_cell& cell, std::size_t shards, std::size_t teams_each)
{
    for (std::size_t n = 0; n < shards; ++n)
    {
        const shard_epoch epoch = cell.fold(shard_claimed{
                                                make_shard(n),
                                                instance_id("entry-vm-0001.7"),
                                                "10.0.0.1:7000",
                                                0})
                                      .in_force;
        for (std::size_t held = 0; held < teams_each; ++held)
        {
            const team_name team = make_team((n + held * 16) % letter::teams);
            cell.fold(
                allowance_set{make_shard(n), epoch, team, {8'000, 16'384, 1}});
        }
    }
}

} // namespace acaciastile::bench
