#pragma once

#include "policy/slots.hpp"

#include <absl/container/btree_set.h>

#include <utility>
#include <vector>

namespace acaciastile::impl
{

/// Teams with waiting jobs in one tier, ordered by weighted dominant share,
/// lowest first.
class share_order
{
public:
    using key = std::pair<double, team_slot>;

    /// Adds a team or moves it to its present share.
    void set(team_slot team, double share)
    {
        if (shares_.size() <= team)
        {
            shares_.resize(team + 1, absent);
        }
        if (shares_[team] == share)
        {
            return;
        }
        erase(team);
        shares_[team] = share;
        order_.emplace(share, team);
    }

    void erase(team_slot team)
    {
        if (contains(team))
        {
            order_.erase({shares_[team], team});
            shares_[team] = absent;
        }
    }

    [[nodiscard]] bool contains(team_slot team) const
    {
        return team < shares_.size() && shares_[team] != absent;
    }

    [[nodiscard]] const absl::btree_set<key>& order() const noexcept
    {
        return order_;
    }

private:
    static constexpr double absent = -1.0;

    absl::btree_set<key> order_;
    std::vector<double> shares_;
};

} // namespace acaciastile::impl
