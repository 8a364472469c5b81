#pragma once

#include "domain/ids.hpp"
#include "domain/resources.hpp"
#include "domain/rules.hpp"
#include "policy/slots.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace acaciastile::impl
{

/// Allowance, usage and demand of one team.
struct team_account
{
    team_name name;
    std::uint32_t share = 1;
    resources allowance; ///< Zero until it is set.
    resources used;      ///< Counts against the allowance.
    resources charged;   ///< Charged to workers for its tasks.
    resources demand;
};

/// The accounts of all teams.
class team_ledger
{
public:
    /// Sets every team's share; teams that the rules do not list keep one.
    void set_shares(const rules& in_force);
    void set_allowance(const team_name& team, const resources& amount);

    /// Returns the team's account; creates it if missing.
    team_slot open(const team_name& team);
    /// `no_slot` where the team has no account.
    [[nodiscard]] team_slot find(const team_name& team) const;
    [[nodiscard]] const team_account& at(team_slot slot) const
    {
        return accounts_[slot];
    }
    [[nodiscard]] team_account& at(team_slot slot) { return accounts_[slot]; }
    [[nodiscard]] std::size_t size() const noexcept { return accounts_.size(); }

    /// Allowance minus usage.
    [[nodiscard]] resources remaining_allowance(team_slot slot) const
    {
        return accounts_[slot].allowance - accounts_[slot].used;
    }

    /// The largest fraction of any resource charged for the team's tasks,
    /// divided by the team's share: weighted dominant share (Ghodsi et al.,
    /// "Dominant Resource Fairness", NSDI 2011).
    [[nodiscard]] double
    dominant_share(team_slot slot, const resources& total) const;

private:
    std::vector<team_account> accounts_;
    absl::flat_hash_map<team_name, team_slot> by_name_;
};

} // namespace acaciastile::impl
