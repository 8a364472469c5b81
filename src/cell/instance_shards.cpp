// Claiming, opening and releasing the shards of an instance.

#include "cell/instance.hpp"
#include "cell/shard_capacity.hpp"

#include <algorithm>
#include <utility>

namespace acaciastile
{

namespace
{

constexpr std::int64_t per_mille = 1'000;
constexpr milliseconds min_append_interval{50};
constexpr std::int64_t milliseconds_in_second = 1'000;

/// The longest time on this instance's clock that a lease granted now can
/// last on a worker's clock.
milliseconds max_lease_duration(const worker_link_settings& link)
{
    const auto longest =
        link.lease * per_mille / (per_mille - link.drift_per_mille);
    return longest + link.lapse_margin;
}

} // namespace

void instance::on_inventory()
{
    shards_ =
        shard_map::create(cell().inventory_in_force(), settings_.shard_workers);
    for (auto& [id, owner] : owners_)
    {
        if (const shard_info* shard = shards_.find(id))
        {
            owner->set_shard(*shard);
        }
    }
    next_manage_ = now();
}

void instance::manage_shards()
{
    if (now() < next_manage_ || !has_configuration())
    {
        return;
    }
    next_manage_ = now() + settings_.claim_interval;
    for (auto at = owners_.begin(); at != owners_.end();)
    {
        const shard_claim* claim = cell().claim(at->first);
        const bool replaced =
            claim == nullptr || claim->epoch != at->second->epoch();
        if (at->second->is_lost() && !replaced)
        {
            refused_epochs_[at->first] = at->second->epoch();
        }
        if (replaced || at->second->is_lost())
        {
            at->second->silence();
            releasing_.erase(at->first);
            at = owners_.erase(at);
            continue;
        }
        ++at;
    }
    for (const shard_info& shard : shards_.shards())
    {
        const shard_claim* claim = cell().claim(shard.id);
        if (claim == nullptr || claim->owner != settings_.self.id ||
            claim->released || owners_.contains(shard.id))
        {
            continue;
        }
        auto refused = refused_epochs_.find(shard.id);
        if (refused != refused_epochs_.end() && refused->second == claim->epoch)
        {
            // A worker moved here from a shard with a higher epoch.
            this->claim(shard.id);
            continue;
        }
        gain(shard, *claim);
    }
    if (shutting_down_ || !follower_->at_head())
    {
        return;
    }
    const claim_plan plan = planner_.plan(now(), cell(), shards_, *members_);
    for (const shard_id& shard : plan.claim)
    {
        claim(shard);
    }
    for (const auto& [shard, successor] : plan.release)
    {
        begin_release(shard, successor);
    }
    const std::vector<member> alive = members_->alive();
    const auto own = std::find_if(
        alive.begin(),
        alive.end(),
        [this](const member& one) { return one.id == settings_.self.id; });
    follower_->set_rank(
        static_cast<std::size_t>(std::distance(alive.begin(), own)));
    set_batch_intervals();
    report_metrics();
}

void instance::claim(const shard_id& shard)
{
    if (claiming_.contains(shard))
    {
        return;
    }
    const shard_claim* before = cell().claim(shard);
    const bool was_unowned = before == nullptr || before->released;
    claiming_.emplace(shard, was_unowned);
    ports_.events->emit(
        {event_number::shard_claim_sent,
         {{"shard", shard.str()}, {"instance", settings_.self.id.str()}}});
    write_cell(
        shard_claimed{
            shard,
            settings_.self.id,
            settings_.self.address,
            before == nullptr ? 0 : before->epoch},
        [this, shard, was_unowned](result<fold_outcome> outcome)
        {
            claiming_.erase(shard);
            if (outcome && outcome->accepted())
            {
                gained_unowned_[shard] = was_unowned;
                next_manage_ = now();
            }
        });
}

void instance::gain(const shard_info& shard, const shard_claim& claim)
{
    auto known = gained_unowned_.find(shard.id);
    const bool was_unowned = known != gained_unowned_.end() && known->second;
    const shard_claim copy = claim;
    shard_owner_parts parts;
    parts.shard = shard;
    parts.epoch = copy.epoch;
    parts.former_owner_silent =
        now() + max_lease_duration(settings_.shard.link) +
        (was_unowned ? milliseconds{0} : settings_.shard.log_silence_limit);
    parts.notify_address = settings_.notify_address;
    parts.settings = settings_.shard;
    parts.seed = random_();
    parts.log = ports_.log;
    parts.workers = ports_.workers;
    parts.clock = ports_.clock;
    parts.host = this;
    parts.decisions = ports_.make_scheduler();
    owners_.emplace(shard.id, shard_owner::create(std::move(parts)));
    ports_.events->emit(
        {event_number::shard_gained,
         {{"shard", shard.id.str()},
          {"epoch", std::to_string(copy.epoch)},
          {"instance", settings_.self.id.str()}}});
}

void instance::begin_release(
    const shard_id& shard, const instance_id& successor)
{
    auto owner = owners_.find(shard);
    if (owner == owners_.end() || releasing_.contains(shard))
    {
        return;
    }
    owner->second->begin_release();
    releasing_.emplace(shard, release{successor, now(), false});
}

void instance::advance_releases()
{
    for (auto& [shard, state] : releasing_)
    {
        auto owner = owners_.find(shard);
        if (owner == owners_.end() || state.written)
        {
            continue;
        }
        const bool late = now() - state.started >= settings_.release_timeout;
        if (owner->second->may_release() || late)
        {
            owner->second->silence();
            state.written = true;
            write_release(shard, state.successor);
        }
    }
}

void instance::write_release(
    const shard_id& shard, const instance_id& successor)
{
    write_cell(
        shard_released{shard, owners_.at(shard)->epoch(), successor},
        [this, shard](result<fold_outcome> outcome)
        {
            auto state = releasing_.find(shard);
            if (!outcome && state != releasing_.end())
            {
                // The owner has stopped sending; only the record is missing and
                // is written again.
                state->second.written = false;
                return;
            }
            releasing_.erase(shard);
            auto owner = owners_.extract(shard);
            ports_.events->emit(
                {event_number::shard_released,
                 {{"shard", shard.str()},
                  {"instance", settings_.self.id.str()}}});
        });
}

void instance::release_all()
{
    std::vector<member> others = members_->alive();
    std::erase_if(
        others,
        [this](const member& one) { return one.id == settings_.self.id; });
    const std::map<shard_id, member> preferred =
        preferred_owners(shards_, others);
    for (const auto& [shard, owner] : owners_)
    {
        auto next = preferred.find(shard);
        begin_release(
            shard, next == preferred.end() ? instance_id() : next->second.id);
    }
}

void instance::set_batch_intervals()
{
    const auto streams = static_cast<std::int64_t>(
        std::max<std::size_t>(1, cell().claims().size()));
    const auto share = milliseconds{
        streams * milliseconds_in_second /
        static_cast<std::int64_t>(settings_.fleet_appends_per_second)};
    for (auto& [id, owner] : owners_)
    {
        owner->set_batch_interval(std::max(share, min_append_interval));
    }
}

void instance::report_metrics()
{
    const auto age = age_of(follower_->last_contact(), now());
    ports_.metrics->gauge("log_age_ms", "", static_cast<double>(age.count()));
    ports_.metrics->gauge(
        "owned_shards", "", static_cast<double>(owners_.size()));
    ports_.metrics->gauge(
        "live_members", "", static_cast<double>(members_->alive().size()));
}

std::vector<shard_id> instance::owned_shards() const
{
    std::vector<shard_id> open;
    for (const auto& [id, owner] : owners_)
    {
        if (owner->is_open() && !owner->is_lost())
        {
            open.push_back(id);
        }
    }
    return open;
}

const shard_owner* instance::owner_of(const shard_id& id) const
{
    auto at = owners_.find(id);
    return at == owners_.end() ? nullptr : at->second.get();
}

std::optional<shard_id>
instance::find_shard_for(const job_spec& spec, const shard_id& without) const
{
    return best_shard_for(shards_, spec, without);
}

} // namespace acaciastile
