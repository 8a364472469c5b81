#include "cell/allowance_planner.hpp"
namespace acaciastile
{
namespace { shard_id g; }
static std::map<const void*, std::pair<shard_id, shard_epoch>>& reg(){ static std::map<const void*, std::pair<shard_id, shard_epoch>> r; return r; }
static std::pair<shard_id, shard_epoch> last;
allowance_planner allowance_planner::create(shard_id shard, shard_epoch epoch, allowance_settings) { last = {shard, epoch}; return {}; }
allowance_plan allowance_planner::plan(instant, const cell_state& cell, const std::map<team_name, team_load>& loads)
{
    if (!reg().count(this)) reg()[this] = last;
    auto [shard, epoch] = reg()[this];
    allowance_plan p;
    for (auto& [team, load] : loads)
    {
        const team_rule* r = cell.rules_in_force().find(team);
        resources a = cell.allowance(shard, team);
        p.bounds[team] = a;
        resources want = load.running + load.demand;
        if (r && !want.fits_in(a)) {
            resources room = r->upper_limit - cell.allowance_sum(team);
            resources to = min(max(want, a), a + max(room, {}));
            if (to != a) p.records.push_back(allowance_set{shard, epoch, team, to});
        }
    }
    return p;
}
}
